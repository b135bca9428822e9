package io.moorstage.core.balancer;

import io.moorstage.core.settings.SearchSettings;

/**
 * The outcome of a search that has no agent left to query and may offer no further segment: the
 * flow is lost, the agents are queried again, or the search ends without a result.
 *
 * <p>Inputs: the agents that have not responded; the remaining candidates for offers; whether the
 * balancer knows all agents; and the age of the search, in milliseconds.
 *
 * <p>No target holds the flow if, for each one, the agent has ruled it out or the target itself has
 * returned a segment, and if the balancer knows all agents ({@link BalancerTables#knowsAllAgents}).
 * An agent that has not run for long enough to know the flow rules nothing out, whatever service
 * its target has. A reset then lets the client retry at once. Otherwise the agents that have not
 * responded are queried again until the search is {@code durationMs} old. Then the search ends
 * without a reset, which could break an open flow, and the client's next retransmission starts a
 * new search.
 *
 * <p>The bounds are {@link SearchSettings#durationMs} and, for the pause before agents are queried
 * again, {@link SearchSettings#pauseMs}.
 */
enum SearchVerdict {
  /** No target holds the flow. */
  HELD_BY_NONE,
  /** A target may hold the flow, and there is time to query again. */
  QUERY_AGAIN,
  /** A target may hold the flow, but the search has reached its maximum duration. */
  GIVE_UP;

  /**
   * Returns the outcome of a search that has no agent left to query and may make no offer.
   *
   * @param knowsAllAgents whether the balancer knows all agents that may know the flow
   */
  static SearchVerdict of(
      Search search, SearchSettings settings, boolean knowsAllAgents, long nowMs) {
    boolean heldByNone =
        !search.hasUnresponsive() && search.candidateCount() == 0 && !search.hasNotOfferable();
    if (heldByNone && knowsAllAgents) {
      return HELD_BY_NONE;
    }
    boolean hasTime = nowMs - search.startedAtMs() < settings.durationMs();
    return hasTime ? QUERY_AGAIN : GIVE_UP;
  }
}
