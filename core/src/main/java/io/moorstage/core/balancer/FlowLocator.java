package io.moorstage.core.balancer;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.SearchSettings;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import javax.annotation.Nullable;

/**
 * Locates the target of flows that this balancer does not know: queries agents and other balancers,
 * and offers a segment to one target after another if none of them can name the holder. Guarded by
 * the lock of {@link FlowBalancer}.
 *
 * <p>This class handles the events (segments, responses, time) and advances each {@link Search}.
 * {@link SearchQueries} selects the agents to query, {@link SearchOffers} selects the targets that
 * are offered a segment, {@link UnconfirmedHolders} limits what a target gets that may hold the
 * flow, and {@link SearchVerdict} decides how a search without a result ends. Any agent may be
 * queried; a segment is offered only to targets of services that the flow's route has or is known
 * to have had.
 */
final class FlowLocator {
  private final SearchSettings settings;
  private final BalancerActions actions;
  private final DecisionLog log;
  private final BalancerTables tables;
  private final SearchQueries queries;
  private final SearchOffers offers;
  private final UnconfirmedHolders unconfirmedHolders;
  private final List<Search> searches = new ArrayList<>();

  FlowLocator(
      ForwardingPolicy policy, BalancerActions actions, DecisionLog log, BalancerTables tables) {
    this.settings = policy.search();
    this.actions = actions;
    this.log = log;
    this.tables = tables;
    this.queries = new SearchQueries(settings, actions, tables);
    this.offers = new SearchOffers(settings, log, tables);
    this.unconfirmedHolders = new UnconfirmedHolders(settings, tables, queries);
  }

  /**
   * Handles a segment of an open flow that an agent gave back: its target does not hold the flow,
   * or belongs to another service than the one that the segment was sent for.
   */
  void onGivenBack(
      int agentAddress, GiveBackReason reason, Segment segment, ByteBuffer datagram, long nowMs) {
    BalancerFlow flow = tables.flow(segment.flow());
    if (flow == null) {
      locate(segment, datagram, nowMs);
      return;
    }
    Search unconfirmed = flow.unconfirmedSearch();
    Search search = flow.search();
    recordGivenBack(flow, unconfirmed == null ? search : unconfirmed, agentAddress, reason);
    if (unconfirmed != null) {
      onGivenBackWhileUnconfirmed(unconfirmed, agentAddress, datagram, nowMs);
    } else if (search != null) {
      onGivenBackDuringSearch(search, agentAddress, datagram, nowMs);
    } else {
      onGivenBackWithoutSearch(flow, agentAddress, segment, datagram, nowMs);
    }
  }

  private void recordGivenBack(
      BalancerFlow flow, @Nullable Search search, int agentAddress, GiveBackReason reason) {
    if (search != null) {
      search.exclude(agentAddress);
    }
    if (reason != GiveBackReason.OTHER_SERVICE) {
      flow.addNonHolder(agentAddress);
      return;
    }
    flow.addWrongService(agentAddress);
    TargetSlot target = tables.targetOfAgent(flow, agentAddress);
    if (search != null && target != null) {
      // The target has not received the segment, and may hold the flow.
      search.addNotOfferable(target);
    }
  }

  private void onGivenBackDuringSearch(
      Search search, int agentAddress, ByteBuffer datagram, long nowMs) {
    TargetSlot offeredTo = search.flow().offeredTo();
    if (offeredTo != null && offeredTo.address() == agentAddress) {
      search.flow().markOfferGivenBack();
      offerNext(search, nowMs);
    } else {
      search.hold(datagram, settings.maxHeldSegments());
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
    if (flow.moveToLastUnanswered()) {
      TargetSlot other = flow.target();
      long ageMs = nowMs - flow.openedAtMs();
      log.decided(Decision.LOCATED, flow.id(), other.address(), "opened-at-other", ageMs);
      tables.send(flow, other, datagram);
      return;
    }
    startSearch(flow, segment, datagram, nowMs);
  }

  // An overloaded machine gave back the segment only after the offer timeout, or another balancer
  // named a wrong target.
  private void onGivenBackWhileUnconfirmed(
      Search search, int agentAddress, ByteBuffer datagram, long nowMs) {
    if (search.flow().target().address() == agentAddress) {
      search.holdFirst(datagram, settings.maxHeldSegments());
      resume(search, "offer-returned-late", nowMs);
    } else {
      // The segment came from another target; the current one may still hold the flow.
      search.hold(datagram, settings.maxHeldSegments());
      unconfirmedHolders.sendHeld(search, nowMs);
    }
  }

  // The search resumes with its remaining candidates, so that the agents are not queried again.
  private void resume(Search search, String reason, long nowMs) {
    BalancerFlow flow = search.flow();
    flow.beginSearch(search);
    if (!searches.contains(search)) {
      searches.add(search);
    }
    log.decided(Decision.ASKED, flow.id(), 0, reason, tables.ageOfState(nowMs));
    if (search.hasAgentsToQuery()) {
      queries.queryNextRound(search, nowMs);
    } else if (search.hasNothingPending()) {
      queryOtherServicesOrOffer(search, nowMs);
    }
  }

  /** Forwards or holds a client's segment of a flow whose target is not confirmed as the holder. */
  void forwardUnconfirmed(Search search, Segment segment, ByteBuffer datagram, long nowMs) {
    if (unconfirmedHolders.mayForward(search, nowMs)) {
      unconfirmedHolders.forward(search, datagram, nowMs);
    } else if (nowMs - search.startedAtMs() < settings.durationMs()) {
      search.hold(datagram, settings.maxHeldSegments());
    } else {
      searches.remove(search);
      search.flow().giveUpSearch();
      startSearch(search.flow(), segment, datagram, nowMs);
    }
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
    flow.markContinued();
    Search search = new Search(flow, segment.acknowledged(), nowMs);
    search.hold(datagram, settings.maxHeldSegments());
    flow.beginSearch(search);
    searches.add(search);
    String reason = previous == null ? "unknown" : "not-held";
    int address = previous == null ? 0 : previous.address();
    log.decided(Decision.ASKED, flow.id(), address, reason, tables.ageOfState(nowMs));
    queries.queryFirstRound(search, nowMs);
  }

  /**
   * Starts the search for the target of a flow that the client has continued, although several
   * targets may have accepted a copy of its opening. The segments go to the one that was sent the
   * last copy, within the limits for an unconfirmed target.
   */
  void startSearchAt(
      TargetSlot target, BalancerFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    Search search = new Search(flow, segment.acknowledged(), nowMs);
    search.hold(datagram, settings.maxHeldSegments());
    flow.beginSearch(search);
    searches.add(search);
    log.decided(
        Decision.ASKED, flow.id(), target.address(), "opened-twice", tables.ageOfState(nowMs));
    queries.queryFirstRound(search, nowMs);
    queries.queryHolder(search, target, nowMs);
    flow.assumeHolder(target);
    if (flow.openingsAtOtherTargets() >= SearchOffers.MAX_UNRESOLVED_SEGMENTS) {
      // With a further one, three segments would be at targets that may not hold the flow.
      search.waitUntil(nowMs + settings.responseTimeoutMs());
      return;
    }
    // The target's agent reports the flow with its response to the request in most cases.
    search.waitUntil(nowMs + settings.pauseMs());
    unconfirmedHolders.sendHeld(search, nowMs);
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
    Search unconfirmed = flow.unconfirmedSearch();
    Search search = unconfirmed == null ? flow.search() : unconfirmed;
    if (search == null) {
      if (flow.isNotFound() && result == FlowQueryResult.HELD) {
        onHolderReportedAfterSearch(flow, targetAddress, nowMs);
      }
      return;
    }
    switch (result) {
      case HELD -> onHolderReported(search, targetAddress, nowMs);
      case KNOWN_ELSEWHERE -> {
        search.removePending(peerAddress);
        onHolderNamed(search, targetAddress, nowMs);
      }
      case LOST -> onLossReported(search, peerAddress);
      case UNKNOWN, UNLIKELY, NOT_HELD -> {
        if (unconfirmed == null) {
          onAgentResponse(search, peerAddress, result, nowMs);
        } else {
          onResponseWhileUnconfirmed(unconfirmed, peerAddress, result, nowMs);
        }
      }
    }
  }

  // Another balancer may name a target whose agent has already given back a segment of the flow
  // here.
  @Nullable
  private TargetSlot possibleHolder(BalancerFlow flow, int targetAddress) {
    return flow.isNonHolder(targetAddress) ? null : tables.targetOfAgent(flow, targetAddress);
  }

  private void onHolderReported(Search search, int targetAddress, long nowMs) {
    BalancerFlow flow = search.flow();
    TargetSlot holder = possibleHolder(flow, targetAddress);
    if (holder != null) {
      String reason = flow.isSearching() ? "told-by-agent" : "told-late";
      if (holder.equals(flow.offeredTo())) {
        search.pollHeld();
      }
      end(search);
      flow.setHolder(holder, true);
      sendHeld(search, holder, reason, nowMs);
    }
  }

  private void onHolderReportedAfterSearch(BalancerFlow flow, int targetAddress, long nowMs) {
    TargetSlot holder = possibleHolder(flow, targetAddress);
    if (holder != null) {
      flow.endSearch();
      flow.setHolder(holder, true);
      logLocated(flow, holder, "told-late", nowMs);
    }
  }

  private void onHolderNamed(Search search, int targetAddress, long nowMs) {
    BalancerFlow flow = search.flow();
    TargetSlot named = possibleHolder(flow, targetAddress);
    if (named == null) {
      return;
    }
    if (!flow.isSearching() || !tables.mayHold(flow, named.record().service())) {
      // Another service may have taken over the address since, so the agent there is queried.
      queries.queryNamed(search, named, nowMs);
      if (!tables.mayHold(flow, named.record().service())) {
        search.addNotOfferable(named);
      } else if (named != flow.target()) {
        search.addCandidate(named);
      }
      return;
    }
    TargetSlot offeredTo = flow.offeredTo();
    flow.assumeHolder(named);
    if (offeredTo != null) {
      search.addCandidateAgain(offeredTo);
    }
    logLocated(flow, named, "told-by-peer", nowMs);
    queries.queryHolder(search, named, nowMs);
    search.waitUntil(nowMs + settings.responseTimeoutMs());
    unconfirmedHolders.sendHeld(search, nowMs);
  }

  private void onLossReported(Search search, int peerAddress) {
    BalancerFlow flow = search.flow();
    actions.reset(flow.id(), search.acknowledged());
    log.decided(Decision.RESET_LOST, flow.id(), peerAddress, "told-by-agent", -1);
    end(search);
    tables.remove(flow);
  }

  private void onResponseWhileUnconfirmed(
      Search search, int agentAddress, FlowQueryResult result, long nowMs) {
    TargetSlot slot = search.removePending(agentAddress);
    if (slot == null) {
      return;
    }
    BalancerFlow flow = search.flow();
    if (flow.target().address() != agentAddress) {
      if (result == FlowQueryResult.NOT_HELD) {
        flow.resolveSegments(agentAddress);
      }
      offers.addResponse(search, slot, result);
    } else if (result == FlowQueryResult.NOT_HELD) {
      flow.addNonHolder(agentAddress);
      onTargetDenied(search, nowMs);
    }
  }

  private void onTargetDenied(Search search, long nowMs) {
    if (search.hasHeldSegments()) {
      resume(search, "not-held", nowMs);
    } else {
      searches.remove(search);
      search.flow().giveUpSearch();
    }
  }

  private void onAgentResponse(
      Search search, int agentAddress, FlowQueryResult result, long nowMs) {
    if (result == FlowQueryResult.NOT_HELD) {
      search.flow().resolveSegments(agentAddress);
    }
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
      if (search.isDue(nowMs) && !search.postponeIfLate(nowMs)) {
        advance(search, nowMs);
      }
    }
  }

  private void advance(Search search, long nowMs) {
    TargetSlot offeredTo = search.flow().offeredTo();
    if (search.flow().unconfirmedSearch() == search) {
      offers.removeRuledOut(search);
      unconfirmedHolders.sendHeld(search, nowMs);
      if (!unconfirmedHolders.continueQueries(search, nowMs)) {
        searches.remove(search);
      }
    } else if (offeredTo != null) {
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

  private void onOfferKept(Search search, TargetSlot target, long nowMs) {
    search.pollHeld();
    search.flow().assumeOfferKept();
    search.waitUntil(nowMs + settings.pauseMs());
    logLocated(search.flow(), target, "kept-offer", nowMs);
    unconfirmedHolders.sendHeld(search, nowMs);
  }

  private void sendHeld(Search search, TargetSlot holder, String reason, long nowMs) {
    logLocated(search.flow(), holder, reason, nowMs);
    while (search.hasHeldSegments()) {
      tables.send(search.flow(), holder, search.pollHeld());
    }
  }

  private void logLocated(BalancerFlow flow, TargetSlot holder, String reason, long nowMs) {
    log.decided(Decision.LOCATED, flow.id(), holder.address(), reason, nowMs - flow.lastUsedMs());
  }

  private void conclude(Search search, long nowMs) {
    BalancerFlow flow = search.flow();
    long ageMs = tables.ageOfState(nowMs);
    switch (SearchVerdict.of(search, settings, tables.knowsAllAgents(nowMs), nowMs)) {
      case HELD_BY_NONE -> {
        log.decided(Decision.RESET_LOST, flow.id(), 0, "held-by-none", ageMs);
        actions.reset(flow.id(), search.acknowledged());
        end(search);
        tables.remove(flow);
      }
      case QUERY_AGAIN -> search.waitUntil(nowMs + settings.pauseMs());
      case GIVE_UP -> {
        String reason = search.hasNotOfferable() ? "not-ruled-out" : "nobody-knows";
        int possibleHolder = search.possibleHolderAddress();
        log.decided(Decision.NOT_FOUND, flow.id(), possibleHolder, reason, ageMs);
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
