package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.AgentReport;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the placement of new flows and the search for open flows in a service of few targets. */
class FlowBalancerTest {
  private static final int A = 0x0A010010;
  private static final int B = 0x0A010011;
  private static final int C = 0x0A010012;
  private static final int OTHER_BALANCER = 0x0A010002;
  private static final int LONG_AFTER_START_MS = 100_000;

  private final Fleet.RecordingBalancerActions actions = new Fleet.RecordingBalancerActions();
  private FlowBalancer balancer;
  private long nowMs = LONG_AFTER_START_MS;

  @BeforeEach
  void start() {
    balancer = new FlowBalancer(Fleet.POLICY, Fleet.ZONE, actions, DecisionLog.NONE, 0);
  }

  private void updateState(FleetState state) {
    balancer.onState(state, nowMs);
  }

  private void reportAgents(int... agents) {
    for (int agent : agents) {
      balancer.onAgentReport(Fleet.agent(agent), nowMs);
    }
  }

  private void sendClientSegment(Segment segment) {
    balancer.onClientSegment(segment, Fleet.bytes(segment), nowMs);
  }

  private void giveBack(int agent, GiveBackReason reason, long version, Segment segment) {
    balancer.onGivenBack(agent, reason, version, segment, Fleet.bytes(segment), nowMs);
  }

  private FleetState threeTargets() {
    return Fleet.state(
        5,
        Fleet.target(A, TargetPhase.READY, 1),
        Fleet.target(B, TargetPhase.READY, 2),
        Fleet.target(C, TargetPhase.READY, 3));
  }

  @Test
  void openFlowStaysAtItsTargetWhenTargetsAreAddedAndDrained() {
    updateState(Fleet.state(5, Fleet.target(A, TargetPhase.READY, 1)));
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    sendClientSegment(Fleet.data(Fleet.flow(1), 101, 10));

    updateState(
        Fleet.state(
            9, Fleet.target(A, TargetPhase.DRAINING, 8), Fleet.target(B, TargetPhase.READY, 9)));
    sendClientSegment(Fleet.data(Fleet.flow(1), 111, 10));

    assertThat(actions.forwardedTo).containsExactly(A, A, A);
  }

  @Test
  void newFlowIsNeverPlacedAtADrainingOrGoneTarget() {
    updateState(
        Fleet.state(
            5,
            Fleet.target(A, TargetPhase.DRAINING, 1),
            Fleet.target(B, TargetPhase.READY, 2),
            Fleet.target(C, TargetPhase.GONE, 3)));
    for (int port = 1; port <= 100; port++) {
      sendClientSegment(Fleet.open(Fleet.flow(port), 0));
    }
    assertThat(actions.forwardedTo).hasSize(100);
    assertThat(actions.forwardedTo).doesNotContain(A);
    assertThat(actions.forwardedTo).doesNotContain(C);
  }

  @Test
  void newFlowIsNeverPlacedInAnEvacuatedZoneAndOpenFlowsStayThere() {
    FleetState state = Fleet.state(5, Fleet.targetIn(Fleet.ZONE, A));
    updateState(state);
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    sendClientSegment(Fleet.data(Fleet.flow(1), 101, 10));
    FleetState both = Fleet.state(6, Fleet.targetIn(Fleet.ZONE, A), Fleet.targetIn("other", B));
    updateState(Fleet.evacuated(both, Fleet.ZONE));
    for (int port = 2; port <= 50; port++) {
      sendClientSegment(Fleet.open(Fleet.flow(port), 0));
      assertThat(actions.lastForwardedTo()).isEqualTo(B);
    }
    sendClientSegment(Fleet.data(Fleet.flow(1), 111, 10));
    assertThat(actions.lastForwardedTo()).isEqualTo(A);
  }

  @Test
  void retransmittedOpeningIsNotSentToATargetWhoseZoneHasBeenEvacuatedSince() {
    FleetState state = Fleet.state(5, Fleet.targetIn(Fleet.ZONE, A), Fleet.targetIn("other", B));
    updateState(Fleet.evacuated(state, "other"));
    reportAgents(A, B);
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    assertThat(actions.forwardedTo).containsExactly(A);
    FleetState later = Fleet.state(6, Fleet.targetIn(Fleet.ZONE, A), Fleet.targetIn("other", B));
    updateState(Fleet.evacuated(later, Fleet.ZONE));
    nowMs += 200;
    reportAgents(A, B);
    sendClientSegment(Fleet.open(Fleet.flow(1), 1));
    assertThat(actions.forwardedTo).containsExactly(A, B);
  }

  @Test
  void newFlowIsResetAtOnceWhenTheZonesOfAllTargetsAreEvacuated() {
    FleetState state = Fleet.state(5, Fleet.targetIn(Fleet.ZONE, A), Fleet.targetIn("other", B));
    updateState(Fleet.evacuated(state, Fleet.ZONE, "other"));
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    assertThat(actions.forwardedTo).isEmpty();
    assertThat(actions.reset).containsExactly(Fleet.flow(1));
  }

  @Test
  void unlistedTargetInAnEvacuatedZoneGetsNoNewFlow() {
    updateState(Fleet.evacuated(Fleet.state(5), Fleet.ZONE));
    reportAgents(A, B);
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    assertThat(actions.forwardedTo).isEmpty();
  }

  @Test
  void openingGivenBackByAnAgentOfAnEvacuatedZoneIsPlacedElsewhere() {
    updateState(Fleet.state(5, Fleet.targetIn(Fleet.ZONE, A), Fleet.targetIn("other", B)));
    Segment open = Fleet.open(Fleet.flow(1), 0);
    sendClientSegment(open);
    assertThat(actions.lastForwardedTo()).isEqualTo(A);
    giveBack(A, GiveBackReason.EVACUATED, 1, open);
    assertThat(actions.lastForwardedTo()).isEqualTo(B);
  }

  private void reportEjected(int... agents) {
    for (int agent : agents) {
      balancer.onAgentReport(
          new AgentReport(agent, Fleet.SERVICE, Fleet.ZONE, 0, false, true, false), nowMs);
    }
  }

  @Test
  void ejectedTargetGetsNoNewFlowWhileHalfOfTheServiceIsNotEjected() {
    updateState(threeTargets());
    reportEjected(A);
    for (int port = 1; port <= 50; port++) {
      sendClientSegment(Fleet.open(Fleet.flow(port), 0));
    }
    assertThat(actions.forwardedTo).doesNotContain(A);
    assertThat(actions.ejectionOverrides).isEqualTo(0);
  }

  @Test
  void allTargetsAreUsedWhenMostAreEjected() {
    updateState(threeTargets());
    reportEjected(A, B);
    for (int port = 1; port <= 50; port++) {
      sendClientSegment(Fleet.open(Fleet.flow(port), 0));
    }
    assertThat(actions.forwardedTo).containsAtLeast(A, B, C);
    assertThat(actions.ejectionOverrides).isEqualTo(50);
  }

  @Test
  void coldTargetThatHasRejectedAFlowIsExcludedBriefly() {
    updateState(Fleet.state(5, Fleet.targetIn(Fleet.ZONE, A), Fleet.targetIn("other", B)));
    Segment open = Fleet.open(Fleet.flow(1), 0);
    sendClientSegment(open);
    giveBack(A, GiveBackReason.COLD, 1, open);
    for (int port = 2; port <= 20; port++) {
      sendClientSegment(Fleet.open(Fleet.flow(port), 0));
      assertThat(actions.lastForwardedTo()).isEqualTo(B);
    }
    nowMs += 1_000;
    reportAgents(A, B);
    sendClientSegment(Fleet.open(Fleet.flow(21), 0));
    assertThat(actions.lastForwardedTo()).isEqualTo(A);
  }

  @Test
  void newFlowIsResetAtOnceWhenAllTargetsAreColdAndAtTheirLimit() {
    updateState(Fleet.state(5, Fleet.targetIn(Fleet.ZONE, A)));
    Segment open = Fleet.open(Fleet.flow(1), 0);
    sendClientSegment(open);
    giveBack(A, GiveBackReason.COLD, 1, open);
    assertThat(actions.reset).containsExactly(Fleet.flow(1));
    sendClientSegment(Fleet.open(Fleet.flow(2), 0));
    assertThat(actions.reset).containsExactly(Fleet.flow(1), Fleet.flow(2));
    assertThat(actions.forwardedTo).containsExactly(A);
  }

  @Test
  void rejectedFlowIsPlacedAtAnotherTarget() {
    updateState(threeTargets());
    Segment open = Fleet.open(Fleet.flow(1), 0);
    sendClientSegment(open);
    int first = actions.lastForwardedTo();
    giveBack(first, GiveBackReason.LEAVING, 1, open);
    assertThat(actions.forwardedTo).hasSize(2);
    assertThat(actions.lastForwardedTo()).isNotEqualTo(first);
  }

  @Test
  void flowThatAllTargetsRejectIsResetAtOnce() {
    updateState(Fleet.state(5, Fleet.target(A, TargetPhase.READY, 1)));
    Segment open = Fleet.open(Fleet.flow(1), 0);
    sendClientSegment(open);
    giveBack(A, GiveBackReason.FULL, 1, open);
    assertThat(actions.reset).containsExactly(Fleet.flow(1));
  }

  @Test
  void flowIsNotResetWhileACopyOfItsOpeningMayStillBeAccepted() {
    updateState(Fleet.state(5, Fleet.target(A, TargetPhase.READY, 1)));
    Segment open = Fleet.open(Fleet.flow(1), 0);
    sendClientSegment(open);
    nowMs += 200;
    sendClientSegment(Fleet.open(Fleet.flow(1), 1));
    giveBack(A, GiveBackReason.FULL, 1, open);
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void newFlowWaitsForATargetAndIsServedWhenOneIsListed() {
    updateState(Fleet.state(5));
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    assertThat(actions.reset).isEmpty();
    nowMs += 100;
    updateState(Fleet.state(6, Fleet.target(A, TargetPhase.READY, 6)));
    assertThat(actions.forwardedTo).containsExactly(A);
  }

  @Test
  void balancerThatHasJustStartedUsesTargetsThatTheSourceDoesNotListYet() {
    updateState(Fleet.state(5, Fleet.target(A, TargetPhase.READY, 1)));
    reportAgents(A, B, C);
    for (int port = 1; port <= 100; port++) {
      sendClientSegment(Fleet.open(Fleet.flow(port), 0));
    }
    assertThat(actions.forwardedTo).containsAtLeast(A, B, C);
  }

  @Test
  void balancerThatHasRunForAWhileUsesNoUnlistedTarget() {
    updateState(Fleet.state(5, Fleet.target(A, TargetPhase.READY, 1)));
    nowMs += Fleet.POLICY.opening().unlistedTargetsMs() + 1;
    reportAgents(A, B, C);
    for (int port = 1; port <= 100; port++) {
      sendClientSegment(Fleet.open(Fleet.flow(port), 0));
    }
    assertThat(actions.forwardedTo).doesNotContain(B);
    assertThat(actions.forwardedTo).doesNotContain(C);
  }

  @Test
  void unlistedTargetsAreNotUsedWhereMostTargetsAreListed() {
    updateState(
        Fleet.state(
            5, Fleet.target(A, TargetPhase.READY, 1), Fleet.target(B, TargetPhase.READY, 2)));
    reportAgents(A, B, C);
    for (int port = 1; port <= 100; port++) {
      sendClientSegment(Fleet.open(Fleet.flow(port), 0));
    }
    assertThat(actions.forwardedTo).doesNotContain(C);
  }

  @Test
  void targetListedAsDrainingIsNotUsedAlthoughItsAgentIsActive() {
    updateState(Fleet.state(5, Fleet.target(A, TargetPhase.DRAINING, 1)));
    reportAgents(A, B, C);
    for (int port = 1; port <= 100; port++) {
      sendClientSegment(Fleet.open(Fleet.flow(port), 0));
    }
    assertThat(actions.forwardedTo).hasSize(100);
    assertThat(actions.forwardedTo).doesNotContain(A);
  }

  @Test
  void newFlowThatWaitsForATargetIsServedWhenAnAgentBecomesActive() {
    updateState(Fleet.state(5));
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    nowMs += 100;
    reportAgents(B);
    assertThat(actions.forwardedTo).containsExactly(B);
  }

  @Test
  void flowRejectedByATargetThatHasBeenListedMeanwhileIsPlacedAtAnother() {
    updateState(Fleet.state(5));
    reportAgents(B, C);
    Segment open = Fleet.open(Fleet.flow(1), 0);
    sendClientSegment(open);
    int first = actions.lastForwardedTo();
    updateState(
        Fleet.state(
            7, Fleet.target(B, TargetPhase.READY, 6), Fleet.target(C, TargetPhase.READY, 7)));
    giveBack(first, GiveBackReason.FULL, 1, open);
    assertThat(actions.lastForwardedTo()).isNotEqualTo(first);
  }

  @Test
  void targetThatReusesAnAddressIsNotAnAdditionalCandidate() {
    TargetRecord before =
        new TargetRecord("before", Fleet.SERVICE, A, "z", 2, TargetPhase.READY, 0, 1, 1);
    TargetRecord now =
        new TargetRecord("now", Fleet.SERVICE, A, "z", 2, TargetPhase.READY, 0, 9, 9);
    updateState(Fleet.state(9, before, now, Fleet.target(B, TargetPhase.READY, 2)));
    Segment open = Fleet.open(Fleet.flow(1), 0);
    sendClientSegment(open);
    int first = actions.lastForwardedTo();
    giveBack(first, GiveBackReason.FULL, 1, open);
    giveBack(actions.lastForwardedTo(), GiveBackReason.FULL, 1, open);
    assertThat(actions.forwardedTo).containsExactly(A, B);
  }

  @Test
  void flowIsSearchedForInTheSameOrderWhetherOrNotItsTargetsAreListed() {
    FleetState all = threeTargets();
    for (int port = 1; port <= 20; port++) {
      List<Integer> listed = offersForLostFlow(all, Fleet.flow(port));
      List<Integer> unlisted = offersForLostFlow(Fleet.state(5), Fleet.flow(port));
      assertThat(unlisted).containsExactlyElementsIn(listed).inOrder();
    }
  }

  /**
   * Returns the targets, in order, to which a restarted balancer offers a segment of a lost flow
   * while all agents have restarted too.
   */
  private List<Integer> offersForLostFlow(FleetState known, FlowId flow) {
    start();
    actions.forwardedTo.clear();
    updateState(known);
    reportAgents(A, B, C);
    Segment segment = Fleet.data(flow, 501, 10);
    sendClientSegment(segment);
    for (int agent : new int[] {A, B, C}) {
      balancer.onQueryResult(agent, flow, FlowQueryResult.UNKNOWN, agent, nowMs);
    }
    for (int offer = 0; offer < 3; offer++) {
      giveBack(actions.lastForwardedTo(), GiveBackReason.NOT_HELD, 1, segment);
    }
    return List.copyOf(actions.forwardedTo);
  }

  @Test
  void newFlowWithoutATargetIsResetWhenTheWaitExpires() {
    updateState(Fleet.state(5));
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    nowMs += Fleet.POLICY.opening().targetWaitMs();
    balancer.onTick(nowMs);
    assertThat(actions.reset).containsExactly(Fleet.flow(1));
  }

  @Test
  void segmentThatArrivesBeforeTheFirstStateIsForwardedWhenTheStateArrives() {
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    assertThat(actions.forwardedTo).isEmpty();
    updateState(Fleet.state(5, Fleet.target(A, TargetPhase.READY, 1)));
    assertThat(actions.forwardedTo).containsExactly(A);
  }

  @Test
  void flowWithoutARouteIsResetOnlyWhenTheConfigurationIsConfirmed() {
    updateState(threeTargets());
    FlowId elsewhere = new FlowId(0x64400007, 9, Fleet.SERVICE_ADDRESS, 8080);
    sendClientSegment(Fleet.open(elsewhere, 0));
    assertThat(actions.reset).isEmpty();

    balancer.onConfirmed(nowMs + 1_000);
    sendClientSegment(Fleet.open(elsewhere, 1));
    assertThat(actions.reset).containsExactly(elsewhere);
  }

  @Test
  void openFlowOfARouteThatThisBalancerDoesNotKnowIsNeverReset() {
    updateState(threeTargets());
    balancer.onConfirmed(nowMs + 1_000);
    sendClientSegment(Fleet.data(new FlowId(0x64400007, 9, Fleet.SERVICE_ADDRESS, 8080), 1, 10));
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void flowOfUnknownTargetIsSentToTheTargetWhoseAgentReportsIt() {
    updateState(threeTargets());
    reportAgents(A, B, C);
    sendClientSegment(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.queried).containsExactly(A, B, C);
    balancer.onQueryResult(B, Fleet.flow(1), FlowQueryResult.HELD, B, nowMs);
    assertThat(actions.forwardedTo).containsExactly(B);
  }

  @Test
  void agentOfAnUnlistedTargetIsStillQueriedForItsFlows() {
    updateState(Fleet.state(5, Fleet.target(A, TargetPhase.READY, 1)));
    reportAgents(A, B);
    sendClientSegment(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.queried).containsExactly(A, B);
    balancer.onQueryResult(B, Fleet.flow(1), FlowQueryResult.HELD, B, nowMs);
    assertThat(actions.forwardedTo).containsExactly(B);
  }

  @Test
  void flowThatNoTargetHoldsIsReset() {
    updateState(threeTargets());
    reportAgents(A, B, C);
    sendClientSegment(Fleet.data(Fleet.flow(1), 101, 10));
    for (int agent : new int[] {A, B, C}) {
      balancer.onQueryResult(agent, Fleet.flow(1), FlowQueryResult.NOT_HELD, agent, nowMs);
    }
    assertThat(actions.reset).containsExactly(Fleet.flow(1));
    assertThat(actions.forwardedTo).isEmpty();
  }

  @Test
  void flowIsNotResetWhileAnAgentThatMayKnowItDoesNotRespond() {
    updateState(threeTargets());
    reportAgents(A, B);
    sendClientSegment(Fleet.data(Fleet.flow(1), 101, 10));
    balancer.onQueryResult(A, Fleet.flow(1), FlowQueryResult.NOT_HELD, A, nowMs);
    balancer.onQueryResult(B, Fleet.flow(1), FlowQueryResult.NOT_HELD, B, nowMs);
    nowMs += Fleet.POLICY.search().durationMs() + 1;
    balancer.onTick(nowMs);
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void flowIsNotResetByABalancerThatHasJustStarted() {
    nowMs = 100;
    updateState(threeTargets());
    reportAgents(A, B, C);
    sendClientSegment(Fleet.data(Fleet.flow(1), 101, 10));
    for (int agent : new int[] {A, B, C}) {
      balancer.onQueryResult(agent, Fleet.flow(1), FlowQueryResult.NOT_HELD, agent, nowMs);
    }
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void agentThatBecomesActiveDuringASearchIsQueried() {
    updateState(Fleet.state(5, Fleet.target(A, TargetPhase.READY, 1)));
    sendClientSegment(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.queried).containsExactly(A);
    reportAgents(A);
    assertThat(actions.queried).containsExactly(A, A);
    balancer.onQueryResult(A, Fleet.flow(1), FlowQueryResult.HELD, A, nowMs);
    assertThat(actions.forwardedTo).containsExactly(A);
  }

  @Test
  void segmentIsOfferedToOneTargetAfterAnotherWhenAgentsHaveLostTheirState() {
    updateState(threeTargets());
    reportAgents(A, B, C);
    Segment data = Fleet.data(Fleet.flow(1), 101, 10);
    sendClientSegment(data);
    for (int agent : new int[] {A, B, C}) {
      balancer.onQueryResult(agent, Fleet.flow(1), FlowQueryResult.UNKNOWN, agent, nowMs);
    }
    assertThat(actions.forwardedTo).hasSize(1);
    giveBack(actions.lastForwardedTo(), GiveBackReason.NOT_HELD, 1, data);
    giveBack(actions.lastForwardedTo(), GiveBackReason.NOT_HELD, 1, data);
    assertThat(actions.forwardedTo).containsExactly(A, B, C);
    giveBack(actions.lastForwardedTo(), GiveBackReason.NOT_HELD, 1, data);
    assertThat(actions.reset).containsExactly(Fleet.flow(1));
  }

  // Guards against two balancers that forward a flow's segments in a loop because each one reports
  // the target that the other one had named before.
  @Test
  void holderNamedByAnotherBalancerIsIgnoredIfItsAgentGaveTheFlowBack() {
    updateState(threeTargets());
    reportAgents(A, B, C);
    Segment data = Fleet.data(Fleet.flow(1), 101, 10);
    sendClientSegment(data);
    balancer.onQueryResult(
        OTHER_BALANCER, Fleet.flow(1), FlowQueryResult.KNOWN_ELSEWHERE, A, nowMs);
    assertThat(actions.forwardedTo).containsExactly(A);
    assertThat(balancer.knownTarget(Fleet.flow(1))).isEqualTo(0);

    giveBack(A, GiveBackReason.NOT_HELD, 1, data);
    balancer.onQueryResult(
        OTHER_BALANCER, Fleet.flow(1), FlowQueryResult.KNOWN_ELSEWHERE, A, nowMs);
    assertThat(actions.forwardedTo).containsExactly(A);
  }

  @Test
  void openingGivenBackForAnOldConfigurationWaitsForTheNewerOne() {
    updateState(threeTargets());
    Segment open = Fleet.open(Fleet.flow(1), 0);
    sendClientSegment(open);
    int first = actions.lastForwardedTo();
    giveBack(first, GiveBackReason.OLD_CONFIGURATION, 2, open);
    assertThat(actions.stateFetchedFrom).containsExactly(first);
    assertThat(actions.forwardedTo).hasSize(1);
    updateState(Fleet.state(8, 2, Fleet.target(A, TargetPhase.READY, 1)));
    assertThat(actions.forwardedTo).hasSize(2);
  }

  @Test
  void unansweredOpeningIsSentToAnotherTarget() {
    updateState(threeTargets());
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    int first = actions.lastForwardedTo();
    nowMs += 200;
    sendClientSegment(Fleet.open(Fleet.flow(1), 1));
    assertThat(actions.lastForwardedTo()).isNotEqualTo(first);
  }

  @Test
  void retransmittedOpeningIsSentToTheSameTargetIfItsAgentHasReportedSince() {
    updateState(threeTargets());
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    int first = actions.lastForwardedTo();
    nowMs += 100;
    reportAgents(A, B, C);
    nowMs += 100;
    sendClientSegment(Fleet.open(Fleet.flow(1), 1));
    assertThat(actions.lastForwardedTo()).isEqualTo(first);
  }

  @Test
  void balancerDetectsThatAllAgentsAreLost() {
    assertThat(balancer.hasLostAllAgents(1_000, nowMs)).isFalse();
    reportAgents(A);
    assertThat(balancer.hasLostAllAgents(1_000, nowMs)).isFalse();
    assertThat(balancer.hasLostAllAgents(1_000, nowMs + 1_001)).isTrue();
  }

  @Test
  void idleFlowsAreEvicted() {
    updateState(threeTargets());
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    balancer.onSweep(nowMs + Fleet.POLICY.retention().flowMs());
    assertThat(balancer.flowCount()).isEqualTo(1);
    balancer.onSweep(nowMs + Fleet.POLICY.retention().flowMs() + 1);
    assertThat(balancer.flowCount()).isEqualTo(0);
  }
}
