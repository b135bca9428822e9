package io.moorstage.core.balancer;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.SearchSettings;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Locates the target of flows that this balancer does not know: queries agents and other balancers,
 * and offers a segment to one target after another if none of them can name the holder. Guarded by
 * the lock of {@link FlowBalancer}.
 *
 * <p>This class handles the events (segments, responses, time) and advances each {@link Search}.
 * {@link SearchQueries} selects the agents to query, {@link SearchOffers} selects the targets that
 * are offered a segment, and {@link SearchVerdict} decides how a search without a result ends. Any
 * agent may be queried; a segment is offered only to targets of services that the flow's route has
 * or is known to have had.
 */
final class FlowLocator {
  private final SearchSettings settings;
  private final BalancerActions actions;
  private final DecisionLog log;
  private final BalancerTables tables;
  private final SearchQueries queries;
  private final SearchOffers offers;
  private final List<Search> searches = new ArrayList<>();

  FlowLocator(
      ForwardingPolicy policy, BalancerActions actions, DecisionLog log, BalancerTables tables) {
    this.settings = policy.search();
    this.actions = actions;
    this.log = log;
    this.tables = tables;
    this.queries = new SearchQueries(settings, actions, tables);
    this.offers = new SearchOffers(settings, log, tables);
  }

  /**
   * Handles a segment of an open flow that an agent gave back because its target does not hold the
   * flow.
   */
  void onNotHeld(int agentAddress, Segment segment, ByteBuffer datagram, long nowMs) {
    BalancerFlow flow = tables.flow(segment.flow());
    if (flow == null) {
      locate(segment, datagram, nowMs);
      return;
    }
    flow.addNonHolder(agentAddress);
    Search ended = flow.endedSearch();
    Search search = flow.search();
    if (ended != null) {
      onOfferGivenBackLate(ended, datagram, nowMs);
    } else if (search != null) {
      onGivenBackDuringSearch(search, agentAddress, nowMs);
    } else {
      onGivenBackWithoutSearch(flow, agentAddress, segment, datagram, nowMs);
    }
  }

  private void onGivenBackDuringSearch(Search search, int agentAddress, long nowMs) {
    TargetSlot offeredTo = search.flow().offeredTo();
    if (offeredTo != null && offeredTo.address() == agentAddress) {
      search.flow().markOfferGivenBack();
      offerNext(search, nowMs);
    }
  }

  private void onGivenBackWithoutSearch(
      BalancerFlow flow, int agentAddress, Segment segment, ByteBuffer datagram, long nowMs) {
    TargetSlot target = flow.target();
    if (target != null && target.address() != agentAddress) {
      // Given back late: the flow has been located at another target in the meantime.
      tables.send(flow, target, datagram);
      return;
    }
    // A target that received an earlier copy of the opening segment may have accepted it.
    TargetSlot other = flow.removeLastTried();
    if (other != null) {
      flow.moveTo(other);
      long ageMs = nowMs - flow.openedAtMs();
      log.decided(Decision.LOCATED, flow.id(), other.address(), "opened-at-other", ageMs);
      tables.send(flow, other, datagram);
      return;
    }
    startSearch(flow, segment, datagram, nowMs);
  }

  // An overloaded machine gave back the offered segment only after the offer timeout. The search
  // resumes with its remaining candidates, so that the agents are not queried again.
  private void onOfferGivenBackLate(Search search, ByteBuffer datagram, long nowMs) {
    BalancerFlow flow = search.flow();
    flow.endSearch();
    TargetSlot target = flow.target();
    if (target != null && !flow.isNonHolder(target.address())) {
      // The segment came from another target; the current one may still hold the flow.
      tables.send(flow, target, datagram);
      return;
    }
    flow.beginSearch(search);
    searches.add(search);
    search.replaceHeld(datagram, settings.maxHeldSegments());
    long ageMs = tables.ageOfState(nowMs);
    log.decided(Decision.ASKED, flow.id(), 0, "offer-returned-late", ageMs);
    offerNext(search, nowMs);
  }

  /** Starts the search for the target of an open flow that is not in the flow table. */
  void locate(Segment segment, ByteBuffer datagram, long nowMs) {
    String service = tables.likelyServiceOf(segment.flow());
    if (service == null) {
      log.decided(
          Decision.DROPPED_NO_ROUTE, segment.flow(), 0, "not-opening", tables.ageOfState(nowMs));
      return;
    }
    BalancerFlow flow = BalancerFlow.unknown(segment.flow(), service, nowMs);
    tables.add(flow);
    startSearch(flow, segment, datagram, nowMs);
  }

  /** Starts the search for a flow whose target is unknown or has turned out not to hold it. */
  void startSearch(BalancerFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    TargetSlot previous = flow.target();
    Search search = new Search(flow, segment.acknowledged(), nowMs);
    search.hold(datagram, settings.maxHeldSegments());
    flow.beginSearch(search);
    searches.add(search);
    String reason = previous == null ? "unknown" : "not-held";
    int address = previous == null ? 0 : previous.address();
    log.decided(Decision.ASKED, flow.id(), address, reason, tables.ageOfState(nowMs));
    queries.queryFirstRound(search, nowMs);
  }

  /** Queries an agent that has become active about all flows that are being searched for. */
  void queryAvailableAgent(TargetSlot agent, String service, long nowMs) {
    for (Search search : searches) {
      queries.queryAvailable(search, agent, service, nowMs);
    }
  }

  /** Handles the response of an agent or another balancer to a query about a flow. */
  void onQueryResult(
      int peerAddress, FlowId id, FlowQueryResult result, int targetAddress, long nowMs) {
    tables.agents().recordResponse(peerAddress);
    BalancerFlow flow = tables.flow(id);
    if (flow == null) {
      return;
    }
    Search search = flow.search();
    if (search == null) {
      if (flow.endedSearch() != null && result == FlowQueryResult.HELD) {
        onHolderReportedLate(flow, targetAddress, nowMs);
      }
      return;
    }
    switch (result) {
      case HELD, KNOWN_ELSEWHERE -> onHolderReported(search, result, targetAddress, nowMs);
      case LOST -> onLossReported(search, peerAddress);
      case UNKNOWN, UNLIKELY, NOT_HELD -> onAgentResponse(search, peerAddress, result, nowMs);
    }
  }

  private void onHolderReported(
      Search search, FlowQueryResult result, int targetAddress, long nowMs) {
    BalancerFlow flow = search.flow();
    // Another balancer may name a target whose agent has already given back a segment of the flow
    // here.
    boolean isNonHolder = flow.isNonHolder(targetAddress);
    TargetSlot holder = isNonHolder ? null : tables.targetOfAgent(flow, targetAddress);
    if (holder == null) {
      return;
    }
    boolean held = result == FlowQueryResult.HELD;
    if (held || tables.mayHold(flow, holder.record().service())) {
      end(search);
      flow.setHolder(holder, held);
      sendHeld(search, holder, held ? "told-by-agent" : "told-by-peer", nowMs);
    } else {
      // Another service may have taken over the address since, so the agent there is queried.
      queries.queryNamed(search, holder, nowMs);
    }
  }

  private void onLossReported(Search search, int peerAddress) {
    BalancerFlow flow = search.flow();
    actions.reset(flow.id(), search.acknowledged());
    log.decided(Decision.RESET_LOST, flow.id(), peerAddress, "told-by-agent", -1);
    end(search);
    tables.remove(flow);
  }

  // The response arrived only after another target had kept the offered segment.
  private void onHolderReportedLate(BalancerFlow flow, int targetAddress, long nowMs) {
    TargetSlot holder = tables.targetOfAgent(flow, targetAddress);
    if (holder == null || flow.isNonHolder(targetAddress)) {
      return;
    }
    flow.endSearch();
    flow.setHolder(holder, true);
    long ageMs = nowMs - flow.lastUsedMs();
    log.decided(Decision.LOCATED, flow.id(), targetAddress, "told-late", ageMs);
  }

  private void onAgentResponse(
      Search search, int agentAddress, FlowQueryResult result, long nowMs) {
    TargetSlot slot = search.removePending(agentAddress);
    if (slot == null) {
      return;
    }
    offers.addResponse(search, slot, result);
    if (!search.hasPending() && search.hasAgentsToQuery()) {
      queries.queryNextRound(search, nowMs);
    } else if (search.hasNothingPending()) {
      queryOtherServicesOrOffer(search, nowMs);
    }
  }

  /** Advances the searches whose current wait (for responses, an offer, a pause) has expired. */
  void onTick(long nowMs) {
    for (Search search : new ArrayList<>(searches)) {
      if (search.isDue(nowMs)) {
        advance(search, nowMs);
      }
    }
  }

  private void advance(Search search, long nowMs) {
    TargetSlot offeredTo = search.flow().offeredTo();
    if (offeredTo != null) {
      onOfferKept(search, offeredTo, nowMs);
    } else if (search.hasAgentsToQuery()) {
      queries.queryNextRound(search, nowMs);
    } else if (search.hasPending() || !search.areOtherServicesQueried()) {
      search.markPendingUnresponsive();
      queryOtherServicesOrOffer(search, nowMs);
    } else {
      queries.queryAgain(search, nowMs);
      if (!search.hasPending()) {
        offerNext(search, nowMs);
      }
    }
  }

  // All agents of the route's services have been queried, and none reported the flow. A target of
  // another service may hold it, so those agents are queried before a segment is offered to a
  // target that most likely does not hold the flow.
  private void queryOtherServicesOrOffer(Search search, long nowMs) {
    queries.queryOtherServices(search, nowMs);
    if (search.hasNothingPending()) {
      offerNext(search, nowMs);
    }
  }

  private void offerNext(Search search, long nowMs) {
    if (!offers.offerNext(search, nowMs)) {
      conclude(search, nowMs);
    }
  }

  private void onOfferKept(Search search, TargetSlot holder, long nowMs) {
    BalancerFlow flow = search.flow();
    search.dropOfferedSegment();
    searches.remove(search);
    flow.markOfferKept();
    sendHeld(search, holder, "kept-offer", nowMs);
  }

  private void sendHeld(Search search, TargetSlot holder, String reason, long nowMs) {
    BalancerFlow flow = search.flow();
    log.decided(Decision.LOCATED, flow.id(), holder.address(), reason, nowMs - flow.lastUsedMs());
    for (byte[] datagram : search.heldSegments()) {
      tables.send(flow, holder, ByteBuffer.wrap(datagram));
    }
  }

  private void conclude(Search search, long nowMs) {
    BalancerFlow flow = search.flow();
    long ageMs = tables.ageOfState(nowMs);
    switch (SearchVerdict.of(search, settings, tables.startedAtMs(), nowMs)) {
      case HELD_BY_NONE -> {
        log.decided(Decision.RESET_LOST, flow.id(), 0, "held-by-none", ageMs);
        actions.reset(flow.id(), search.acknowledged());
        end(search);
        tables.remove(flow);
      }
      case QUERY_AGAIN -> search.waitUntil(nowMs + settings.pauseMs());
      case GIVE_UP -> {
        int unresponsive = search.firstUnresponsiveAddress();
        log.decided(Decision.NOT_FOUND, flow.id(), unresponsive, "nobody-knows", ageMs);
        // The flow stays in the table with its known non-holders, so that they are not offered the
        // client's retransmission.
        searches.remove(search);
        flow.giveUpSearch();
      }
    }
  }

  private void end(Search search) {
    searches.remove(search);
    search.flow().endSearch();
  }
}
