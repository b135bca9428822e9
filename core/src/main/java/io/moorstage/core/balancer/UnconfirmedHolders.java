package io.moorstage.core.balancer;

import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.SearchSettings;
import java.nio.ByteBuffer;

/**
 * Forwards the segments of flows whose target may hold them but is not confirmed as the holder.
 * Guarded by the lock of {@link FlowBalancer}.
 *
 * <p>A target is unconfirmed if it has not returned an offered segment within {@code
 * offerTimeoutMs}, if another balancer has named it, or if it is one of several that may have
 * accepted the opening. None of this proves that it holds the flow: the target, its agent or this
 * balancer may be slow, a message may be lost, and the other balancer's information may be
 * outdated. Only the target's agent confirms it. The agent reports the flow as soon as the target
 * has sent a segment of it, and in response to queries.
 *
 * <p>Until then the queries of the search go on, and the target gets segments within the limits of
 * {@link SearchOffers}; others are held. The limits do not apply to a target that is the only one
 * that may hold the flow.
 */
final class UnconfirmedHolders {
  private final SearchSettings settings;
  private final BalancerTables tables;
  private final SearchQueries queries;

  UnconfirmedHolders(SearchSettings settings, BalancerTables tables, SearchQueries queries) {
    this.settings = settings;
    this.tables = tables;
    this.queries = queries;
  }

  /** Sends the held segments of a flow to its unconfirmed target, as far as the limits allow. */
  void sendHeld(Search search, long nowMs) {
    while (search.hasHeldSegments() && mayForward(search, nowMs)) {
      forward(search, search.pollHeld(), nowMs);
    }
  }

  /** Returns whether the unconfirmed target of a flow may be sent another segment. */
  boolean mayForward(Search search, long nowMs) {
    return isOnlyPossible(search, nowMs)
        || SearchOffers.maySend(search.flow(), isSpeculative(search));
  }

  private boolean isOnlyPossible(Search search, long nowMs) {
    return !isSpeculative(search)
        && !search.hasOtherCandidateThan(search.flow().target().address())
        && tables.knowsAllAgents(nowMs);
  }

  private static boolean isSpeculative(Search search) {
    return search.mayBeHeldByOtherThan(search.flow().target().address());
  }

  /** Sends a segment to the unconfirmed target of a flow. */
  void forward(Search search, ByteBuffer datagram, long nowMs) {
    BalancerFlow flow = search.flow();
    TargetSlot target = flow.target();
    if (!isOnlyPossible(search, nowMs)) {
      flow.addUnresolvedSegment(target.address());
    }
    if (isSpeculative(search)) {
      flow.countSpeculativeSegment();
    }
    tables.send(flow, target, datagram);
  }

  /**
   * Continues the queries about a flow with an unconfirmed target, whose current wait has expired.
   *
   * @return false if the search has reached its maximum duration
   */
  boolean continueQueries(Search search, long nowMs) {
    if (nowMs - search.startedAtMs() >= settings.durationMs()) {
      return false;
    }
    search.markPendingUnresponsive();
    if (search.hasAgentsToQuery()) {
      queries.queryNextRound(search, nowMs);
    } else if (!search.areOtherServicesQueried()) {
      queries.queryOtherServices(search, nowMs);
    } else {
      queries.queryAgain(search, nowMs);
      queries.queryHolder(search, search.flow().target(), nowMs);
      search.waitUntil(nowMs + settings.pauseMs());
    }
    return true;
  }
}
