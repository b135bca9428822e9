package io.moorstage.core.settings;

/**
 * Times and limits of the search for the target of a flow that a balancer does not know.
 *
 * @param responseTimeoutMs how long a balancer waits for responses to its queries, in milliseconds
 * @param durationMs how long a search continues while agents do not respond, in milliseconds
 * @param pauseMs how long a search waits before it queries agents again, in milliseconds
 * @param offerTimeoutMs how long a balancer waits for an offered segment to be given back, in
 *     milliseconds; if it has not been given back by then, its target is assumed to be the flow's
 *     holder until its agent reports or denies that
 * @param maxHeldSegments the most segments of one flow that are held during its search
 * @param agentDiscoveryMs how long a balancer that has read a beacon must have run before it
 *     assumes that it knows all agents, in milliseconds
 * @param agentTimeoutMs how long an agent may leave queries unanswered that other agents answer,
 *     and send no beacon, before it counts as unavailable and searches no longer wait for it, in
 *     milliseconds
 */
public record SearchSettings(
    int responseTimeoutMs,
    int durationMs,
    int pauseMs,
    int offerTimeoutMs,
    int maxHeldSegments,
    int agentDiscoveryMs,
    int agentTimeoutMs) {

  /** A few round trips between zones (about 3 ms) and a tick of 20 ms at each end. */
  private static final int RESPONSE_TIMEOUT_MS = 60;

  /**
   * Until the client's third copy starts a search of its own: the client repeats a segment after
   * 200, 600 and 1,400 ms.
   */
  private static final int DURATION_MS = 1_400;

  /** Allows a search to query agents about ten times before it ends. */
  private static final int PAUSE_MS = 150;

  /** A round trip and a tick of 20 ms: a target immediately returns what it does not hold. */
  private static final int OFFER_TIMEOUT_MS = 30;

  /** Enough for a request's segments and the copies that arrive during the search. */
  private static final int MAX_HELD_SEGMENTS = 4;

  /** Two beacon periods of 500 ms, and 200 ms for a processor that is busy with the start. */
  private static final int AGENT_DISCOVERY_MS = 1_200;

  /** Three beacons, 500 ms apart, may be lost in a row, and the fourth may be 300 ms late. */
  private static final int AGENT_TIMEOUT_MS = 1_800;

  /**
   * Values for flows whose clients repeat a segment after 200 ms and double the interval each time.
   */
  public static final SearchSettings STANDARD =
      new SearchSettings(
          RESPONSE_TIMEOUT_MS,
          DURATION_MS,
          PAUSE_MS,
          OFFER_TIMEOUT_MS,
          MAX_HELD_SEGMENTS,
          AGENT_DISCOVERY_MS,
          AGENT_TIMEOUT_MS);
}
