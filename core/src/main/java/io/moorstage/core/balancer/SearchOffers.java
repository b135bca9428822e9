package io.moorstage.core.balancer;

import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.SearchSettings;

/**
 * Makes the offers of a search: selects which targets are offered a segment of the flow, when, and
 * how many of them. Guarded by the lock of {@link FlowBalancer}.
 *
 * <p>Inputs: the agents' responses within this search; the flow's route, as of the newest state;
 * the agents that have not responded; and the offers made so far.
 *
 * <p>A target is a candidate if its agent cannot rule out that it holds the flow, and its service
 * is one that the flow's route has or is known to have had. A target reported as unlikely to hold
 * the flow is a candidate only if it is one of the {@link SearchQueries#FIRST_ROUND_SIZE} most
 * likely, or of twice as many with placement by service times. Offers are made one at a time, the
 * most likely target first, and only when no response is pending: a target returns a segment of an
 * unknown flow at once, and is assumed to be the holder if it keeps the segment for {@code
 * offerTimeoutMs} ({@link UnconfirmedHolders}). After a batch of offers the search pauses for
 * {@code pauseMs} and then queries again. While an agent that may know the flow has not responded,
 * or a target that must not be offered a segment may hold the flow, at most {@value
 * #MAX_SPECULATIVE_SEGMENTS} segments of the flow are sent. At most {@value
 * #MAX_UNRESOLVED_SEGMENTS} are at targets that have neither confirmed nor returned them.
 *
 * <p>A target of a service that the flow's route is not known to have had is offered no segment.
 * Its agent has to deny the flow, unless the balancer knows all services that the route has had
 * since the target started.
 *
 * <p>An agent that has run for less than the time a flow is remembered does not know all flows of
 * its target; the target does. Each wrong offer reaches a target that does not hold the flow, so
 * offers are few, and limited in rate after a fault in which all nodes have lost their state.
 */
final class SearchOffers {
  /**
   * The number of offers before a pause, or a quarter of all candidates if that is more, so that
   * all offers are made within 0.6 s.
   */
  private static final int MIN_BATCH_SIZE = 8;

  /** The number of batches that cover all candidates; four pauses of 150 ms each make 0.6 s. */
  private static final int BATCHES = 4;

  /**
   * The maximum number of segments of a flow that are sent to unconfirmed targets while a target
   * may hold the flow whose agent has not responded or that must not be offered a segment: three
   * segments sent to wrong targets break a flow.
   */
  static final int MAX_SPECULATIVE_SEGMENTS = 2;

  /**
   * The maximum number of segments of a flow at targets that have neither confirmed nor returned
   * them. A balancer that reads returned segments late would send three to wrong targets, which
   * breaks a flow. Two are usually enough for the holder, which acknowledges every second one.
   */
  static final int MAX_UNRESOLVED_SEGMENTS = 2;

  private final SearchSettings settings;
  private final DecisionLog log;
  private final BalancerTables tables;

  SearchOffers(SearchSettings settings, DecisionLog log, BalancerTables tables) {
    this.settings = settings;
    this.log = log;
    this.tables = tables;
  }

  /** Adds the target of an agent that has not denied the flow to those that may hold it. */
  void addResponse(Search search, TargetSlot slot, FlowQueryResult result) {
    if (result == FlowQueryResult.NOT_HELD) {
      search.exclude(slot.address());
    } else if (!tables.mayHold(search.flow(), slot.record().service())) {
      if (tables.mayHoldByUnknownVersion(slot.address())) {
        search.addOfUnknownVersion(slot);
      }
    } else if (isCandidate(search, slot, result)) {
      search.addCandidate(slot);
    }
  }

  private boolean isCandidate(Search search, TargetSlot slot, FlowQueryResult result) {
    if (result == FlowQueryResult.UNLIKELY) {
      int rank = search.likelihoodRank(slot.address());
      TargetPool pool = tables.poolOf(slot.record().service());
      int likely = pool == null ? TargetPool.LIKELY_TARGETS : pool.likelyTargets();
      return rank >= 0 && rank < likely;
    }
    return result == FlowQueryResult.UNKNOWN;
  }

  /**
   * Removes targets of other services that can't hold the flow by what has become known since their
   * agents responded: which services its route has had, and when a target started.
   */
  void removeRuledOut(Search search) {
    search.removeOfUnknownVersions(address -> !tables.mayHoldByUnknownVersion(address));
  }

  /**
   * Offers a segment to the next candidate, or pauses the search at the end of a batch.
   *
   * @return false if no target may be offered a segment now
   */
  boolean offerNext(Search search, long nowMs) {
    removeRuledOut(search);
    boolean speculative = search.hasUnresponsive() || search.hasNotOfferable();
    if (search.candidateCount() == 0 || !maySend(search.flow(), speculative)) {
      return false;
    }
    if (search.isBatchStart()) {
      search.setMaxOffersInBatch(Math.max(MIN_BATCH_SIZE, search.candidateCount() / BATCHES));
    }
    if (search.mayOfferInBatch()) {
      offer(search, speculative, nowMs);
    } else {
      search.resetBatch();
      search.waitUntil(nowMs + settings.pauseMs());
    }
    return true;
  }

  /**
   * Returns whether a segment may be sent to a target that may not hold the flow.
   *
   * @param speculative whether a target may hold the flow that is not offered a segment
   */
  static boolean maySend(BalancerFlow flow, boolean speculative) {
    return flow.unresolvedSegments() < MAX_UNRESOLVED_SEGMENTS
        && (!speculative || flow.speculativeSegments() < MAX_SPECULATIVE_SEGMENTS);
  }

  private void offer(Search search, boolean speculative, long nowMs) {
    BalancerFlow flow = search.flow();
    TargetSlot target = search.removeLikeliestCandidate();
    search.countOffer();
    if (speculative) {
      flow.countSpeculativeSegment();
    }
    flow.addUnresolvedSegment(target.address());
    flow.offerTo(target);
    search.waitUntil(nowMs + settings.offerTimeoutMs());
    log.decided(
        Decision.OFFERED, flow.id(), target.address(), "may-hold", tables.ageOfState(nowMs));
    tables.send(flow, target, search.offeredSegment());
  }
}
