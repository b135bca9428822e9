package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.AgentReport;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.state.Evacuations;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.TargetRecord;
import io.moorstage.core.state.WeightedService;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the search for a flow that was opened before the services of its route changed. */
class FlowLocatorRouteTest {
  private static final int TARGETS = 30;
  private static final int ALL_TARGETS = 2 * TARGETS;
  private static final int FORMER_ADDRESS = 0x0A010010;
  private static final int ADDRESS = 0x0A020010;
  private static final int OTHER_BALANCER = 0x0A010001;
  private static final String FORMER = Fleet.SERVICE;
  private static final String SERVICE = "chairs";
  private static final FlowId FLOW = Fleet.flow(1);

  /** A target of the route's former service that is not among the flow's most likely ones. */
  private static final int HOLDER = formerByRank().get(TARGETS - 1);

  private final Fleet.RecordingBalancerActions actions = new Fleet.RecordingBalancerActions();
  private final List<TargetRecord> targets = new ArrayList<>();
  private FleetState state;
  private FlowBalancer balancer;
  private long nowMs = 100_000;
  private int answeredQueries;
  private int givenBackOffers;

  private static List<TargetRecord> formerTargets() {
    List<TargetRecord> former = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      former.add(Fleet.listed("f" + i, FORMER, FORMER_ADDRESS + i, 1));
    }
    return former;
  }

  /** Returns the addresses of the former service's targets, the flow's most likely target first. */
  private static List<Integer> formerByRank() {
    List<TargetSlot> slots = new ArrayList<>();
    for (TargetRecord target : formerTargets()) {
      slots.add(new TargetSlot(target, 0));
    }
    List<Integer> addresses = new ArrayList<>();
    for (TargetSlot slot : TargetPool.byLikelihood(slots, Fleet.ZONE, FLOW)) {
      addresses.add(slot.address());
    }
    return addresses;
  }

  @BeforeEach
  void start() {
    targets.clear();
    targets.addAll(formerTargets());
    for (int i = 0; i < TARGETS; i++) {
      targets.add(Fleet.listed("t" + i, SERVICE, ADDRESS + i, 1));
    }
    startBalancer(FleetState.EMPTY);
  }

  private void startBalancer(FleetState peerState) {
    state = peerState;
    balancer = new FlowBalancer(Fleet.POLICY, Fleet.ZONE, actions, DecisionLog.NONE, 0);
  }

  private void reportAgents() {
    for (TargetRecord target : targets) {
      balancer.onAgentReport(
          new AgentReport(target.address(), target.service(), Fleet.ZONE, 0, false, false, false),
          nowMs);
    }
  }

  private void applyRoutes(long version, ForwardingRoute... routes) {
    state = state.replaceBy(Fleet.state(version + 5, version, List.of(routes), targets));
    balancer.onState(state, nowMs);
  }

  private void applyRouteTo(long version, String service) {
    applyRoutes(version, Fleet.routeTo(service));
  }

  /** Applies the first configuration that the source has had, so all former services are known. */
  private void applyFirstRouteTo(long version, String service) {
    FleetState read = Fleet.state(version + 5, version, List.of(Fleet.routeTo(service)), targets);
    state = state.replaceBy(read.with(read.configuration().withAllFormerServices()));
    balancer.onState(state, nowMs);
  }

  /** Applies a configuration of which all versions are known since a revision of the source. */
  private void applyRouteKnownSince(long revision) {
    List<TargetRecord> listed = new ArrayList<>();
    for (TargetRecord target : targets) {
      listed.add(Fleet.listed(target.id(), target.service(), target.address(), 8));
    }
    listed.replaceAll(TargetRecord::asCreatedAtStart);
    ForwardingConfiguration configuration =
        new ForwardingConfiguration(2, 60_000, List.of(Fleet.routeTo(SERVICE)), Map.of(), revision);
    state = FleetState.of(10, configuration, listed, Evacuations.NONE);
    balancer.onState(state, nowMs);
  }

  private void applyRouteMove() {
    applyRouteTo(1, FORMER);
    applyRouteTo(2, SERVICE);
  }

  private void sendClientData() {
    sendClientData(FLOW);
  }

  private void sendClientData(FlowId flow) {
    Segment data = Fleet.data(flow, 101, 10);
    balancer.onClientSegment(data, Fleet.bytes(data), nowMs);
  }

  /** Responds to each query once; queries for which the function returns null are lost. */
  private void respond(FlowId flow, IntFunction<FlowQueryResult> resultOf) {
    while (answeredQueries < actions.queried.size()) {
      int agent = actions.queried.get(answeredQueries);
      answeredQueries++;
      FlowQueryResult result = resultOf.apply(agent);
      if (result != null) {
        balancer.onQueryResult(agent, flow, result, agent, nowMs);
      }
    }
  }

  private void respondToAll(FlowQueryResult result) {
    respond(FLOW, agent -> result);
  }

  /** The holder's agent reports the flow; all others have not run for long enough to know it. */
  private void respondAsHeldBy(int holder) {
    respond(FLOW, agent -> agent == holder ? FlowQueryResult.HELD : FlowQueryResult.UNKNOWN);
  }

  /** Gives back each offered segment once, from the agents of all targets but the holder. */
  private void giveBackOffers(FlowId flow, int holder) {
    giveBackOffers(flow, target -> target == holder ? null : GiveBackReason.NOT_HELD);
  }

  private void giveBackOffers(FlowId flow, GiveBackReason reason) {
    giveBackOffers(flow, target -> reason);
  }

  /** Gives back each offered segment once, unless the function returns null for its target. */
  private void giveBackOffers(FlowId flow, IntFunction<GiveBackReason> reasonOf) {
    Segment data = Fleet.data(flow, 101, 10);
    while (givenBackOffers < actions.forwardedTo.size()) {
      int target = actions.forwardedTo.get(givenBackOffers);
      givenBackOffers++;
      GiveBackReason reason = reasonOf.apply(target);
      if (reason != null) {
        balancer.onGivenBack(target, reason, 1, data, Fleet.bytes(data), nowMs);
      }
    }
  }

  /**
   * Runs the search for a flow through all its offers; all agents respond that they have not run
   * for long enough to know the flow.
   */
  private void runSearch(FlowId flow, int holder) {
    for (int i = 0; i < ALL_TARGETS; i++) {
      respond(flow, agent -> FlowQueryResult.UNKNOWN);
      giveBackOffers(flow, holder);
      nowMs += Fleet.POLICY.search().pauseMs();
      balancer.onTick(nowMs);
    }
  }

  // ---- a route that has moved to another service ----

  @Test
  void flowOfTheRoutesFormerServiceIsLocatedWithoutAnOffer() {
    applyRouteMove();
    sendClientData();
    respondAsHeldBy(HOLDER);
    assertThat(actions.forwardedTo).containsExactly(HOLDER);
    assertThat(actions.forwardedFor).containsExactly(FORMER);
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void segmentIsOfferedToTargetsOfTheRoutesFormerService() {
    applyRouteMove();
    sendClientData();
    runSearch(FLOW, HOLDER);
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
    assertThat(actions.reset).isEmpty();
  }

  // An agent gives back segments that name another service than its target's.
  @Test
  void eachOfferNamesTheServiceOfItsTarget() {
    applyRouteMove();
    sendClientData();
    runSearch(FLOW, 0);
    assertThat(new HashSet<>(actions.forwardedTo)).hasSize(ALL_TARGETS);
    for (int i = 0; i < actions.forwardedTo.size(); i++) {
      boolean former = actions.forwardedTo.get(i) < ADDRESS;
      assertThat(actions.forwardedFor.get(i)).isEqualTo(former ? FORMER : SERVICE);
    }
  }

  @Test
  void holderOfTheFormerServiceNamedByABalancerIsAccepted() {
    applyRouteMove();
    sendClientData();
    balancer.onQueryResult(OTHER_BALANCER, FLOW, FlowQueryResult.KNOWN_ELSEWHERE, HOLDER, nowMs);
    assertThat(actions.forwardedTo).containsExactly(HOLDER);
  }

  // The agent at the address gives back segments that name another service than its target's.
  @Test
  void locatedFlowKeepsNamingItsServiceAfterAnotherServiceHasTakenTheAddress() {
    applyRouteMove();
    sendClientData();
    respondAsHeldBy(HOLDER);
    targets.removeIf(target -> target.address() == HOLDER);
    targets.add(Fleet.listed("successor", SERVICE, HOLDER, 9));
    applyRouteTo(3, SERVICE);
    sendClientData();
    assertThat(actions.forwardedTo).containsExactly(HOLDER, HOLDER);
    assertThat(actions.forwardedFor).containsExactly(FORMER, FORMER);
  }

  // ---- a balancer that starts after the route has moved ----

  @Test
  void balancerWithoutAnEarlierConfigurationLocatesAFlowOfTheFormerService() {
    applyRouteTo(2, SERVICE);
    sendClientData();
    respondAsHeldBy(HOLDER);
    assertThat(actions.forwardedTo).containsExactly(HOLDER);
    assertThat(actions.forwardedFor).containsExactly(FORMER);
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void balancerThatStartsWithAPeersStateOffersToTheFormerService() {
    applyRouteMove();
    startBalancer(state);
    balancer.onState(state, nowMs);
    sendClientData();
    runSearch(FLOW, HOLDER);
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
    assertThat(actions.reset).isEmpty();
  }

  // Guards against resets with reason held-by-none, which a soak has shown: the peer's older copy
  // arrived a few milliseconds after the first read of the source, and was dropped.
  @Test
  void balancerThatReadsTheSourceBeforeAPeersOlderCopyOffersToTheFormerService() {
    applyRouteTo(1, FORMER);
    FleetState olderCopyOfPeer = state;
    startBalancer(FleetState.EMPTY);
    applyRouteTo(2, SERVICE);
    state = state.merge(olderCopyOfPeer);
    balancer.onState(state, nowMs);
    sendClientData();
    runSearch(FLOW, HOLDER);
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void flowIsNotResetWhileAnAgentOfAnotherServiceHasNotResponded() {
    applyRouteTo(2, SERVICE);
    sendClientData();
    for (int passedMs = 0; passedMs < 3 * Fleet.POLICY.search().durationMs(); passedMs += 20) {
      respond(FLOW, agent -> agent == HOLDER ? null : FlowQueryResult.NOT_HELD);
      nowMs += 20;
      balancer.onTick(nowMs);
    }
    assertThat(actions.reset).isEmpty();
    sendClientData();
    balancer.onQueryResult(HOLDER, FLOW, FlowQueryResult.HELD, HOLDER, nowMs);
    assertThat(actions.forwardedTo).containsExactly(HOLDER);
  }

  @Test
  void flowThatNoTargetOfAnyServiceHoldsIsResetOnceAllAgentsHaveResponded() {
    reportAgents();
    applyRouteTo(2, SERVICE);
    sendClientData();
    respondToAll(FlowQueryResult.NOT_HELD);
    assertThat(actions.queried).hasSize(ALL_TARGETS);
    assertThat(actions.queried).containsNoDuplicates();
    assertThat(actions.reset).containsExactly(FLOW);
  }

  @Test
  void agentsOfOtherServicesAreQueriedOnlyOnceThoseOfTheRouteHaveResponded() {
    applyRouteTo(2, SERVICE);
    sendClientData();
    respondToAll(FlowQueryResult.NOT_HELD);
    for (int i = 0; i < ALL_TARGETS; i++) {
      assertThat(actions.queried.get(i) < ADDRESS).isEqualTo(i >= TARGETS);
    }
  }

  @Test
  void flowOfTheRoutesServiceIsLocatedWithoutAQueryToAnotherService() {
    applyRouteTo(1, FORMER);
    sendClientData();
    respondAsHeldBy(HOLDER);
    assertThat(actions.forwardedTo).containsExactly(HOLDER);
    assertThat(actions.queried.size()).isAtMost(TARGETS);
  }

  @Test
  void segmentIsNeverOfferedToAServiceThatItsRouteHasNeverHad() {
    reportAgents();
    applyFirstRouteTo(2, SERVICE);
    sendClientData();
    runSearch(FLOW, 0);
    assertThat(new HashSet<>(actions.forwardedTo)).hasSize(TARGETS);
    assertThat(new HashSet<>(actions.forwardedFor)).containsExactly(SERVICE);
    assertThat(actions.reset).containsExactly(FLOW);
  }

  // Guards against the reset of an open flow of a route that had moved to another service before
  // all nodes lost their state: the holder's agent, which does not know the flow, was taken for one
  // that denies it.
  @Test
  void flowIsNotResetWhileAnAgentOfAServiceThatItsRouteMayHaveHadDoesNotDenyIt() {
    for (FlowQueryResult result : List.of(FlowQueryResult.UNKNOWN, FlowQueryResult.UNLIKELY)) {
      start();
      reportAgents();
      applyRouteTo(2, SERVICE);
      sendClientData();
      for (int i = 0; i < ALL_TARGETS; i++) {
        respond(FLOW, agent -> agent == HOLDER ? result : FlowQueryResult.NOT_HELD);
        nowMs += Fleet.POLICY.search().pauseMs();
        balancer.onTick(nowMs);
      }
      assertThat(actions.reset).isEmpty();
      assertThat(actions.forwardedTo).isEmpty();
    }
  }

  // A balancer that knows a target also knows each configuration that was accepted before the
  // target
  // was listed. Otherwise each flow that is lost with all nodes and targets would wait for 65 s.
  @Test
  void targetThatStartedAfterTheEarliestKnownConfigurationDoesNotHoldAFlowOfAnotherService() {
    reportAgents();
    for (long knownSince : List.of(6L, 9L)) {
      applyRouteKnownSince(knownSince);
      FlowId flow = Fleet.flow((int) knownSince);
      sendClientData(flow);
      runSearch(flow, 0);
    }
    assertThat(actions.reset).containsExactly(Fleet.flow(6));
  }

  // Guards against searches that last until their end after a loss of all nodes and targets: they
  // start as soon as a configuration is known, and the new targets are listed a moment later.
  @Test
  void targetThatIsListedDuringTheSearchIsRuledOutThen() {
    reportAgents();
    applyRouteTo(2, SERVICE);
    sendClientData();
    respondToAll(FlowQueryResult.UNKNOWN);
    giveBackOffers(FLOW, 0);
    assertThat(actions.reset).isEmpty();
    applyRouteKnownSince(6);
    long endOfSearchMs = nowMs + Fleet.POLICY.search().durationMs();
    while (actions.reset.isEmpty() && nowMs < endOfSearchMs) {
      nowMs += Fleet.POLICY.search().pauseMs();
      balancer.onTick(nowMs);
      respondToAll(FlowQueryResult.UNKNOWN);
      giveBackOffers(FLOW, 0);
    }
    assertThat(actions.reset).containsExactly(FLOW);
    assertThat(nowMs).isLessThan(endOfSearchMs);
  }

  // Guards against segments held back from the only target that may hold the flow: agents of
  // services that its route has never had counted as agents of possible holders.
  @Test
  void agentsOfServicesThatTheRouteHasNeverHadDoNotLimitTheSegmentsOfAFlow() {
    reportAgents();
    applyFirstRouteTo(2, SERVICE);
    openAtTwoTargets();
    int last = actions.lastForwardedTo();
    sendClientData();
    for (int i = 0; i < ALL_TARGETS; i++) {
      respond(
          FLOW,
          agent ->
              agent == last || agent < ADDRESS
                  ? FlowQueryResult.UNKNOWN
                  : FlowQueryResult.NOT_HELD);
      nowMs += Fleet.POLICY.search().responseTimeoutMs();
      balancer.onTick(nowMs);
    }
    int sentBefore = actions.forwardedTo.size();
    for (int i = 0; i < 2 * SearchOffers.MAX_SPECULATIVE_SEGMENTS; i++) {
      sendClientData();
    }
    assertThat(actions.forwardedTo.size() - sentBefore)
        .isEqualTo(2 * SearchOffers.MAX_SPECULATIVE_SEGMENTS);
  }

  private void openAtTwoTargets() {
    for (int copy = 0; copy < 2; copy++) {
      Segment opening = Fleet.open(FLOW, copy);
      balancer.onClientSegment(opening, Fleet.bytes(opening), nowMs);
      nowMs += 2_100;
    }
    assertThat(new HashSet<>(actions.forwardedTo)).hasSize(2);
  }

  // Guards against three segments of an open flow at targets of its route's new service while the
  // holder of the former one gets none.
  @Test
  void atMostTwoSegmentsAreOfferedWhileATargetOfAnotherServiceMayHoldTheFlow() {
    reportAgents();
    applyRouteTo(2, SERVICE);
    sendClientData();
    runSearch(FLOW, HOLDER);
    assertThat(new HashSet<>(actions.forwardedFor)).containsExactly(SERVICE);
    assertThat(actions.forwardedTo).hasSize(SearchOffers.MAX_SPECULATIVE_SEGMENTS);
    assertThat(actions.reset).isEmpty();
  }

  // The agent may report the flow once its target has sent a segment of it, or after the search.
  @Test
  void flowOfAServiceThatItsRouteMayHaveHadIsLocatedOnceItsAgentReportsIt() {
    reportAgents();
    applyRouteTo(2, SERVICE);
    sendClientData();
    runSearch(FLOW, HOLDER);
    sendClientData();
    balancer.onQueryResult(HOLDER, FLOW, FlowQueryResult.HELD, HOLDER, nowMs);
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
    assertThat(actions.forwardedFor).contains(FORMER);
  }

  // Guards against the reset of an open flow at a target of another service that has taken over an
  // address: the agent rejects segments for the former service, and its target never sees them.
  @Test
  void flowIsNotResetWhileAnAgentHasRejectedItsSegmentForTheServiceThatItWasSentFor() {
    reportAgents();
    applyFirstRouteTo(2, FORMER);
    sendClientData();
    for (int i = 0; i < ALL_TARGETS; i++) {
      respond(FLOW, agent -> agent == HOLDER ? FlowQueryResult.UNKNOWN : FlowQueryResult.NOT_HELD);
      giveBackOffers(FLOW, GiveBackReason.OTHER_SERVICE);
      nowMs += Fleet.POLICY.search().pauseMs();
      balancer.onTick(nowMs);
    }
    assertThat(actions.forwardedTo).containsExactly(HOLDER);
    assertThat(actions.reset).isEmpty();

    sendClientData();
    balancer.onQueryResult(HOLDER, FLOW, FlowQueryResult.HELD, HOLDER, nowMs);
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
  }

  // Guards against a reset although the agent of another service knows that its target has accepted
  // the flow's opening.
  @Test
  void flowIsNotResetWhileATargetOfAnotherServiceHasAcceptedItsOpening() {
    reportAgents();
    applyFirstRouteTo(2, SERVICE);
    sendClientData();
    for (int i = 0; i < ALL_TARGETS; i++) {
      respond(
          FLOW,
          agent -> agent == HOLDER ? FlowQueryResult.KNOWN_ELSEWHERE : FlowQueryResult.NOT_HELD);
      nowMs += Fleet.POLICY.search().pauseMs();
      balancer.onTick(nowMs);
    }
    assertThat(actions.reset).isEmpty();
  }

  // The other balancer may not have received the state in which another service has taken the
  // address.
  @Test
  void agentOfAnotherServiceIsQueriedBeforeAHolderNamedByABalancerIsAccepted() {
    applyRouteTo(2, SERVICE);
    sendClientData();
    balancer.onQueryResult(OTHER_BALANCER, FLOW, FlowQueryResult.KNOWN_ELSEWHERE, HOLDER, nowMs);
    assertThat(actions.forwardedTo).isEmpty();
    assertThat(actions.queried).contains(HOLDER);
    balancer.onQueryResult(HOLDER, FLOW, FlowQueryResult.HELD, HOLDER, nowMs);
    assertThat(actions.forwardedTo).containsExactly(HOLDER);
  }

  // Guards against searches that wait until their end for an entry of another writer: there is no
  // agent at its address.
  @Test
  void lostFlowIsResetThoughAnEntryOfAServiceThatIsNotNamedIsListed() {
    reportAgents();
    int foreign = 0x0A030099;
    FleetState named = Fleet.state(7, 2, List.of(Fleet.routeTo(SERVICE)), targets);
    targets.add(Fleet.listed("foreign", "inventory", foreign, 1));
    state =
        FleetState.of(7, named.configuration().withAllFormerServices(), targets, Evacuations.NONE);
    balancer.onState(state, nowMs);
    sendClientData();
    respond(FLOW, agent -> agent == foreign ? null : FlowQueryResult.NOT_HELD);
    assertThat(actions.reset).containsExactly(FLOW);
  }

  // ---- a route that has been removed ----

  @Test
  void knownFlowStaysAtItsTargetWhenItsRouteIsRemoved() {
    applyRouteTo(1, FORMER);
    sendClientData();
    respondAsHeldBy(HOLDER);
    applyRoutes(2);
    sendClientData();
    assertThat(actions.forwardedTo).containsExactly(HOLDER, HOLDER);
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void unknownFlowOfARemovedRouteIsNeitherResetNorOffered() {
    applyRouteTo(1, FORMER);
    applyRoutes(2);
    sendClientData();
    runSearch(FLOW, 0);
    assertThat(actions.forwardedTo).isEmpty();
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void flowIsLocatedWhenItsRouteWasRemovedAndAddedAgainWithAnotherService() {
    applyRouteTo(1, FORMER);
    applyRoutes(2);
    applyRouteTo(3, SERVICE);
    sendClientData();
    respondAsHeldBy(HOLDER);
    assertThat(actions.forwardedTo).containsExactly(HOLDER);
    assertThat(actions.reset).isEmpty();
  }

  // ---- a service whose weight has changed to 0 ----

  private void applyWeights(int formerWeight, int weight) {
    WeightedService former = new WeightedService(FORMER, formerWeight);
    applyRoutes(2, Fleet.routeTo(former, new WeightedService(SERVICE, weight)));
  }

  @Test
  void flowOfAServiceWhoseWeightHasChangedTo0IsLocated() {
    applyWeights(0, 1);
    sendClientData();
    respondAsHeldBy(HOLDER);
    assertThat(actions.forwardedTo).containsExactly(HOLDER);
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void offerNamesTheServiceOfItsTargetThoughItsWeightHasChangedTo0() {
    applyWeights(0, 1);
    sendClientData();
    runSearch(FLOW, HOLDER);
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
    assertThat(actions.forwardedFor).contains(FORMER);
  }

  @Test
  void flowIsLocatedThoughAllWeightsOfItsRouteHaveChangedTo0() {
    applyWeights(0, 0);
    sendClientData();
    respondAsHeldBy(HOLDER);
    assertThat(actions.forwardedTo).containsExactly(HOLDER);
    assertThat(actions.reset).isEmpty();
  }
}
