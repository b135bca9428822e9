package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.state.TargetPhase;
import org.junit.jupiter.api.Test;

/** Tests which segments an agent delivers, queues, gives back or resets. */
class FlowAgentTest extends AgentTestBase {
  @Test
  void openingOfAnotherServiceNeverReachesTheTarget() {
    forward(Fleet.open(Fleet.flow(1), 0), "bundles", 1);
    assertThat(actions.delivered).isEmpty();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.OTHER_SERVICE);
  }

  // Guards against delivery to the wrong service: a target of that service may have had the address
  // before.
  @Test
  void segmentOfAnUnknownFlowOfAnotherServiceNeverReachesTheTarget() {
    forward(Fleet.data(Fleet.flow(1), 101, 10), "other", 1);
    assertThat(actions.delivered).isEmpty();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.OTHER_SERVICE);
  }

  @Test
  void openingUnderAnOlderConfigurationThanOneInEffectIsGivenBack() {
    forward(Fleet.open(Fleet.flow(1), 0), Fleet.SERVICE, 7);
    forward(Fleet.open(Fleet.flow(2), 0), Fleet.SERVICE, 6);
    assertThat(actions.delivered).hasSize(1);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.OLD_CONFIGURATION);
  }

  @Test
  void leavingTargetGetsNoOpeningAndKeepsItsFlows() {
    openFlow(1);
    reportTarget(TargetPhase.DRAINING, false, 9);
    forward(Fleet.open(Fleet.flow(2), 0));
    forward(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.delivered).hasSize(2);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.LEAVING);
  }

  // Guards against new flows from a balancer that has not received the evacuation yet.
  @Test
  void targetOfAnEvacuatedZoneGetsNoOpeningWhateverABalancerSendsAndKeepsItsFlows() {
    openFlow(1);
    assertThat(reportTarget(TargetPhase.READY, true, 9)).isTrue();
    forward(Fleet.open(Fleet.flow(2), 0));
    forward(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.delivered).hasSize(2);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.EVACUATED);

    assertThat(reportTarget(TargetPhase.READY, false, 8)).isFalse();
    forward(Fleet.open(Fleet.flow(3), 0));
    assertThat(actions.delivered).hasSize(2);
    assertThat(reportTarget(TargetPhase.READY, false, 12)).isTrue();
    forward(Fleet.open(Fleet.flow(3), 0));
    assertThat(actions.delivered).hasSize(3);
  }

  @Test
  void olderReportOfTheTargetsPhaseIsIgnored() {
    reportTarget(TargetPhase.DRAINING, false, 9);
    assertThat(reportTarget(TargetPhase.READY, false, 8)).isFalse();
    assertThat(agent.phase()).isEqualTo(TargetPhase.DRAINING);
  }

  @Test
  void returnedOpeningGoesBackToTheBalancer() {
    forward(Fleet.open(Fleet.flow(1), 0));
    receiveFromTarget(Fleet.returned(Fleet.open(Fleet.flow(1), 0)));
    assertThat(actions.givenBack).containsExactly(GiveBackReason.FULL);
  }

  @Test
  void openingWithoutAResponseIsGivenBackAndALateResponseIsDropped() {
    forward(Fleet.open(Fleet.flow(1), 0));
    nowMs += Fleet.POLICY.opening().responseTimeoutMs();
    agent.onTick(nowMs);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.SILENT);
    receiveFromTarget(Fleet.accepted(Fleet.flow(1)));
    assertThat(actions.toClients).isEmpty();
  }

  @Test
  void flowThatTheTargetHeldAndHasLostIsReset() {
    openFlow(1);
    forward(Fleet.data(Fleet.flow(1), 101, 10));
    respond(1);
    Segment next = Fleet.data(Fleet.flow(1), 111, 10);
    forward(next);
    receiveFromTarget(Fleet.returned(next));
    assertThat(actions.reset).containsExactly(Fleet.flow(1));
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowQueryResult.LOST);
  }

  @Test
  void flowThatWasOnlyAcceptedHereAndOpenedElsewhereIsGivenBackAndNotReset() {
    openFlow(1);
    Segment data = Fleet.data(Fleet.flow(1), 101, 10);
    forward(data);
    receiveFromTarget(Fleet.returned(data));
    assertThat(actions.reset).isEmpty();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.NOT_HELD);
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowQueryResult.NOT_HELD);
  }

  // A balancer takes a target for the holder of a flow only once its agent has reported that.
  @Test
  void firstSegmentOfTheTargetOnAnOfferedFlowIsReportedToTheBalancer() {
    forward(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.reportedHeld).isEmpty();
    respond(1);
    respond(1);
    assertThat(actions.reportedHeld).containsExactly(Fleet.flow(1));
  }

  @Test
  void restartedAgentRebuildsItsFlowsFromTheTargetsSegments() {
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowQueryResult.UNKNOWN);
    respond(1);
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowQueryResult.HELD);
  }

  @Test
  void restartedAgentOffersAnUnknownFlowToItsTarget() {
    Segment data = Fleet.data(Fleet.flow(1), 101, 10);
    forward(data);
    assertThat(actions.delivered).hasSize(1);
    receiveFromTarget(Fleet.returned(data));
    assertThat(actions.givenBack).containsExactly(GiveBackReason.NOT_HELD);
  }

  @Test
  void agentThatHasRunForLongReportsAnUnknownFlowAsNotHeld() {
    nowMs = Fleet.POLICY.retention().flowMs() + 1;
    forward(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.delivered).isEmpty();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.NOT_HELD);
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowQueryResult.NOT_HELD);
  }

  private void fillTarget() {
    reportTarget(TargetPhase.READY, false, 1);
    for (int port = 1; port <= CAPACITY + SPARE; port++) {
      openFlow(port);
      forward(Fleet.data(Fleet.flow(port), 101, 10));
    }
    actions.delivered.clear();
  }

  @Test
  void requestWaitsWhileTheTargetIsAtItsLimitUntilAResponseFreesAPlace() {
    fillTarget();
    openFlow(50);
    actions.delivered.clear();
    forward(Fleet.data(Fleet.flow(50), 101, 10));
    assertThat(actions.delivered).isEmpty();
    respond(1);
    assertThat(actions.delivered).hasSize(1);
  }

  // Guards against wasted work: with short timeouts, clients gave up requests that had waited, and
  // the target was busy with them in vain.
  @Test
  void requestOfARouteWithAShortTimeoutDoesNotWait() {
    fillTarget();
    Segment data = Fleet.data(Fleet.flow(60), 101, 10);
    forward(data, Fleet.SERVICE, 1, 1_200);
    assertThat(actions.delivered).containsExactly(data.toString());
  }

  @Test
  void newRequestGoesBeforeAPossibleRetry() {
    fillTarget();
    Segment old = Fleet.data(Fleet.flow(60), 101, 10);
    forward(old);
    openFlow(61);
    actions.delivered.clear();
    Segment fresh = Fleet.data(Fleet.flow(61), 101, 10);
    forward(fresh);
    respond(1);
    assertThat(actions.delivered).containsExactly(fresh.toString());
    respond(2);
    assertThat(actions.delivered).containsExactly(fresh.toString(), old.toString()).inOrder();
  }

  @Test
  void repeatedSegmentOfAWaitingRequestIsDeliveredOnce() {
    fillTarget();
    Segment data = Fleet.data(Fleet.flow(60), 101, 10);
    forward(data);
    forward(data);
    respond(1);
    assertThat(actions.delivered).containsExactly(data.toString());
  }

  @Test
  void segmentsOfAWaitingRequestKeepTheirOrder() {
    fillTarget();
    Segment first = Fleet.data(Fleet.flow(60), 101, 10);
    Segment second = Fleet.data(Fleet.flow(60), 111, 10);
    forward(first);
    forward(second);
    respond(1);
    assertThat(actions.delivered).containsExactly(first.toString(), second.toString()).inOrder();
  }

  @Test
  void noRequestWaitsLongerThanTheMaximum() {
    fillTarget();
    Segment data = Fleet.data(Fleet.flow(60), 101, 10);
    forward(data);
    nowMs += Fleet.POLICY.requests().maxWaitMs();
    agent.onTick(nowMs);
    assertThat(actions.delivered).containsExactly(data.toString());
  }

  // Guards against starvation of new requests: during a long overload, all free places once went to
  // requests that were already late.
  @Test
  void requestThatHasWaitedLongGetsEveryOtherFreePlace() {
    fillTarget();
    for (int port = 60; port <= 63; port++) {
      openFlow(port);
      forward(Fleet.data(Fleet.flow(port), 101, 10));
    }
    nowMs += Fleet.POLICY.requests().longWaitMs();
    openFlow(70);
    openFlow(71);
    actions.delivered.clear();
    forward(Fleet.data(Fleet.flow(70), 101, 10));
    forward(Fleet.data(Fleet.flow(71), 101, 10));
    respond(1);
    respond(2);
    assertThat(actions.delivered)
        .containsExactly(
            Fleet.data(Fleet.flow(60), 101, 10).toString(),
            Fleet.data(Fleet.flow(71), 101, 10).toString())
        .inOrder();
  }

  // Guards against a gate that stays closed: after an outage, most requests counted as in progress
  // had been given up by their clients.
  @Test
  void requestThatTheTargetEndsWithoutAResponseNoLongerCountsAsInProgress() {
    fillTarget();
    openFlow(60);
    Segment next = Fleet.data(Fleet.flow(60), 101, 10);
    actions.delivered.clear();
    forward(next);
    forward(Fleet.close(Fleet.flow(1), 111));
    receiveFromTarget(Fleet.close(Fleet.flow(1), 2));
    assertThat(actions.delivered)
        .containsExactly(Fleet.close(Fleet.flow(1), 111).toString(), next.toString())
        .inOrder();
    assertThat(agent.busyFlows()).isEqualTo(CAPACITY + SPARE);
  }

  @Test
  void requestThatItsClientGivesUpWhileItWaitsTakesNoPlaceAtTheTarget() {
    fillTarget();
    openFlow(60);
    actions.delivered.clear();
    Segment data = Fleet.data(Fleet.flow(60), 101, 10);
    Segment close = Fleet.close(Fleet.flow(60), 111);
    forward(data);
    forward(close);
    assertThat(actions.delivered).containsExactly(data.toString(), close.toString()).inOrder();
    assertThat(agent.busyFlows()).isEqualTo(CAPACITY + SPARE);
  }

  @Test
  void dataThatArrivesAfterTheCloseOfItsFlowDoesNotWait() {
    fillTarget();
    openFlow(60);
    actions.delivered.clear();
    Segment data = Fleet.data(Fleet.flow(60), 101, 10);
    forward(Fleet.close(Fleet.flow(60), 111));
    forward(data);
    assertThat(actions.delivered).contains(data.toString());
    assertThat(agent.busyFlows()).isEqualTo(CAPACITY + SPARE);
  }

  @Test
  void retryOfACompletedRequestDoesNotCountAsInProgress() {
    reportTarget(TargetPhase.READY, false, 1);
    openFlow(1);
    Segment data = Fleet.data(Fleet.flow(1), 101, 10);
    forward(data);
    respond(1);
    forward(data);
    assertThat(agent.busyFlows()).isEqualTo(0);
  }

  @Test
  void requestWithoutAResponseStopsCountingAsInProgress() {
    openFlow(1);
    forward(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(agent.busyFlows()).isEqualTo(1);
    nowMs += Fleet.POLICY.requests().staleAfterMs();
    agent.onTick(nowMs);
    assertThat(agent.busyFlows()).isEqualTo(0);
  }

  @Test
  void unknownFlowIsUnlikelyAtATargetThatStartedAfterTheAgent() {
    agent.onTargetReport(
        new TargetReport(9, TargetPhase.READY, false, CAPACITY, 5, true, 0, 0), nowMs);
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowQueryResult.UNLIKELY);
    openFlow(2);
    respond(2);
    assertThat(agent.onQuery(Fleet.flow(2), nowMs)).isEqualTo(FlowQueryResult.HELD);
  }

  // The client may have continued at another target that has accepted a copy of the opening.
  @Test
  void flowThatWasOnlyAcceptedIsReportedAsHeldOnceTheTargetHasSentAnotherSegment() {
    openFlow(1);
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowQueryResult.KNOWN_ELSEWHERE);
    assertThat(actions.reportedHeld).isEmpty();
    respond(1);
    assertThat(actions.reportedHeld).containsExactly(Fleet.flow(1));
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowQueryResult.HELD);
  }

  @Test
  void targetThatHoldsAnUnknownFlowIsNoLongerAssumedToBeNew() {
    agent.onTargetReport(
        new TargetReport(9, TargetPhase.READY, false, CAPACITY, 5, true, 0, 0), nowMs);
    receiveFromTarget(Fleet.data(Fleet.flow(3), 2, 100));
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowQueryResult.UNKNOWN);
  }

  // Guards against requests that wait for up to 0.9 s beside free places of the target.
  @Test
  void requestsWaitNoLongerThanUntilAHigherCapacityIsReported() {
    fillTarget();
    Segment first = Fleet.data(Fleet.flow(60), 101, 10);
    Segment second = Fleet.data(Fleet.flow(61), 101, 10);
    forward(first);
    forward(second);
    assertThat(actions.delivered).isEmpty();
    agent.onTargetReport(
        new TargetReport(2, TargetPhase.READY, false, CAPACITY + 1, 5, false, 0, 0), nowMs);
    assertThat(actions.delivered).containsExactly(first.toString());
    agent.onTargetReport(new TargetReport(3, TargetPhase.READY, false, 0, 5, false, 0, 0), nowMs);
    assertThat(actions.delivered).containsExactly(first.toString(), second.toString()).inOrder();
  }

  // Guards against the reset of a flow that another target may accept: the balancer counts the
  // openings that were not given back, and counted this one twice.
  @Test
  void openingThatWasGivenBackAndIsReturnedLateIsNotGivenBackAgain() {
    Segment open = Fleet.open(Fleet.flow(1), 0);
    forward(open);
    nowMs += Fleet.POLICY.opening().responseTimeoutMs();
    agent.onTick(nowMs);
    receiveFromTarget(Fleet.returned(open));
    assertThat(actions.givenBack).containsExactly(GiveBackReason.SILENT);
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowQueryResult.NOT_HELD);
  }
}
