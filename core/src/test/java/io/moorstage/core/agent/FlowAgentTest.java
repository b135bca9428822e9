package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.FlowKnowledge;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.state.TargetPhase;
import org.junit.jupiter.api.Test;

class FlowAgentTest extends AgentTestBase {
  @Test
  void openingOfAnotherServiceNeverReachesTheTarget() {
    forwarded(Fleet.open(Fleet.flow(1), 0), "bundles", 1);
    assertThat(actions.delivered).isEmpty();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.OTHER_SERVICE);
  }

  // The target of that service may have had the address before.
  @Test
  void segmentOfAnUnknownFlowOfAnotherServiceNeverReachesTheTarget() {
    forwarded(Fleet.data(Fleet.flow(1), 101, 10), "other", 1);
    assertThat(actions.delivered).isEmpty();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.NOT_HELD);
  }

  @Test
  void openingUnderAnOlderConfigurationThanOneInEffectIsGivenBack() {
    forwarded(Fleet.open(Fleet.flow(1), 0), Fleet.SERVICE, 7);
    forwarded(Fleet.open(Fleet.flow(2), 0), Fleet.SERVICE, 6);
    assertThat(actions.delivered).hasSize(1);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.OLD_CONFIGURATION);
  }

  @Test
  void leavingTargetGetsNoOpeningAndKeepsItsFlows() {
    openFlow(1);
    told(TargetPhase.DRAINING, false, 9);
    forwarded(Fleet.open(Fleet.flow(2), 0));
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.delivered).hasSize(2);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.LEAVING);
  }

  // The bound must not depend on the balancer that hears last of the evacuation.
  @Test
  void targetOfAnEvacuatedZoneGetsNoOpeningWhateverABalancerSendsAndKeepsItsFlows() {
    openFlow(1);
    assertThat(told(TargetPhase.READY, true, 9)).isTrue();
    forwarded(Fleet.open(Fleet.flow(2), 0));
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.delivered).hasSize(2);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.EVACUATED);

    assertThat(told(TargetPhase.READY, false, 8)).isFalse();
    forwarded(Fleet.open(Fleet.flow(3), 0));
    assertThat(actions.delivered).hasSize(2);
    assertThat(told(TargetPhase.READY, false, 12)).isTrue();
    forwarded(Fleet.open(Fleet.flow(3), 0));
    assertThat(actions.delivered).hasSize(3);
  }

  @Test
  void olderWordOfTheTargetsPhaseIsNotTaken() {
    told(TargetPhase.DRAINING, false, 9);
    assertThat(told(TargetPhase.READY, false, 8)).isFalse();
    assertThat(agent.phase()).isEqualTo(TargetPhase.DRAINING);
  }

  @Test
  void returnedOpeningGoesBackToTheBalancer() {
    forwarded(Fleet.open(Fleet.flow(1), 0));
    fromTarget(Fleet.returned(Fleet.open(Fleet.flow(1), 0)));
    assertThat(actions.givenBack).containsExactly(GiveBackReason.FULL);
  }

  @Test
  void unansweredOpeningIsGivenBackAndALateAnswerIsNotPassedOn() {
    forwarded(Fleet.open(Fleet.flow(1), 0));
    nowMs += Fleet.POLICY.opening().answerTimeoutMs();
    agent.onTick(nowMs);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.SILENT);
    fromTarget(Fleet.accepted(Fleet.flow(1)));
    assertThat(actions.toClients).isEmpty();
  }

  @Test
  void flowThatTheTargetHeldAndHasLostIsReset() {
    openFlow(1);
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    answer(1);
    Segment next = Fleet.data(Fleet.flow(1), 111, 10);
    forwarded(next);
    fromTarget(Fleet.returned(next));
    assertThat(actions.reset).containsExactly(Fleet.flow(1));
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.LOST);
  }

  @Test
  void flowThatWasOnlyAcceptedHereAndOpenedElsewhereIsGivenBackAndNotReset() {
    openFlow(1);
    Segment data = Fleet.data(Fleet.flow(1), 101, 10);
    forwarded(data);
    fromTarget(Fleet.returned(data));
    assertThat(actions.reset).isEmpty();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.NOT_HELD);
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.NOT_HELD);
  }

  @Test
  void restartedAgentLearnsItsFlowsFromTheTarget() {
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.UNKNOWN);
    answer(1);
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.HELD);
  }

  @Test
  void restartedAgentOffersAnUnknownFlowToItsTarget() {
    Segment data = Fleet.data(Fleet.flow(1), 101, 10);
    forwarded(data);
    assertThat(actions.delivered).hasSize(1);
    fromTarget(Fleet.returned(data));
    assertThat(actions.givenBack).containsExactly(GiveBackReason.NOT_HELD);
  }

  @Test
  void agentThatHasRunForLongKnowsThatAnUnknownFlowIsNotHeld() {
    nowMs = Fleet.POLICY.memory().flowMs() + 1;
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.delivered).isEmpty();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.NOT_HELD);
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.NOT_HELD);
  }

  private void fillTarget() {
    told(TargetPhase.READY, false, 1);
    for (int port = 1; port <= CAPACITY + SPARE; port++) {
      openFlow(port);
      forwarded(Fleet.data(Fleet.flow(port), 101, 10));
    }
    actions.delivered.clear();
  }

  @Test
  void requestWaitsWhileTheTargetIsAtItsLimitAndGoesWhenAnAnswerFreesAPlace() {
    fillTarget();
    openFlow(50);
    actions.delivered.clear();
    forwarded(Fleet.data(Fleet.flow(50), 101, 10));
    assertThat(actions.delivered).isEmpty();
    answer(1);
    assertThat(actions.delivered).hasSize(1);
  }

  // With short time-outs, requests that waited were done in vain and kept the target busy.
  @Test
  void requestOfARouteWithAShortTimeoutDoesNotWait() {
    fillTarget();
    Segment data = Fleet.data(Fleet.flow(60), 101, 10);
    forwarded(data, Fleet.SERVICE, 1, 1_200);
    assertThat(actions.delivered).containsExactly(data.toString());
  }

  @Test
  void requestThatIsKnownToBeNewGoesBeforeOneThatMayBeOld() {
    fillTarget();
    Segment old = Fleet.data(Fleet.flow(60), 101, 10);
    forwarded(old);
    openFlow(61);
    actions.delivered.clear();
    Segment fresh = Fleet.data(Fleet.flow(61), 101, 10);
    forwarded(fresh);
    answer(1);
    assertThat(actions.delivered).containsExactly(fresh.toString());
    answer(2);
    assertThat(actions.delivered).containsExactly(fresh.toString(), old.toString()).inOrder();
  }

  @Test
  void repeatedSegmentOfAWaitingRequestIsDeliveredOnce() {
    fillTarget();
    Segment data = Fleet.data(Fleet.flow(60), 101, 10);
    forwarded(data);
    forwarded(data);
    answer(1);
    assertThat(actions.delivered).containsExactly(data.toString());
  }

  @Test
  void segmentsOfAWaitingRequestKeepTheirOrder() {
    fillTarget();
    Segment first = Fleet.data(Fleet.flow(60), 101, 10);
    Segment second = Fleet.data(Fleet.flow(60), 111, 10);
    forwarded(first);
    forwarded(second);
    answer(1);
    assertThat(actions.delivered).containsExactly(first.toString(), second.toString()).inOrder();
  }

  @Test
  void noRequestWaitsLongerThanItsBound() {
    fillTarget();
    Segment data = Fleet.data(Fleet.flow(60), 101, 10);
    forwarded(data);
    nowMs += Fleet.POLICY.requests().waitMs();
    agent.onTick(nowMs);
    assertThat(actions.delivered).containsExactly(data.toString());
  }

  // In a lasting overload each place that becomes free once went to requests that were late.
  @Test
  void requestThatHasWaitedLongGetsEveryOtherFreePlace() {
    fillTarget();
    for (int port = 60; port <= 63; port++) {
      openFlow(port);
      forwarded(Fleet.data(Fleet.flow(port), 101, 10));
    }
    nowMs += Fleet.POLICY.requests().turnMs();
    openFlow(70);
    openFlow(71);
    actions.delivered.clear();
    forwarded(Fleet.data(Fleet.flow(70), 101, 10));
    forwarded(Fleet.data(Fleet.flow(71), 101, 10));
    answer(1);
    answer(2);
    assertThat(actions.delivered)
        .containsExactly(
            Fleet.data(Fleet.flow(60), 101, 10).toString(),
            Fleet.data(Fleet.flow(71), 101, 10).toString())
        .inOrder();
  }

  // After an outage most of what the target had in progress were requests that had been given up.
  @Test
  void requestThatTheTargetEndsWithoutAnAnswerNoLongerCountsAsInProgress() {
    fillTarget();
    openFlow(60);
    Segment next = Fleet.data(Fleet.flow(60), 101, 10);
    actions.delivered.clear();
    forwarded(next);
    forwarded(Fleet.close(Fleet.flow(1), 111));
    fromTarget(Fleet.close(Fleet.flow(1), 2));
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
    forwarded(data);
    forwarded(close);
    assertThat(actions.delivered).containsExactly(data.toString(), close.toString()).inOrder();
    assertThat(agent.busyFlows()).isEqualTo(CAPACITY + SPARE);
  }

  @Test
  void dataThatArrivesBehindTheCloseOfItsFlowDoesNotWait() {
    fillTarget();
    openFlow(60);
    actions.delivered.clear();
    Segment data = Fleet.data(Fleet.flow(60), 101, 10);
    forwarded(Fleet.close(Fleet.flow(60), 111));
    forwarded(data);
    assertThat(actions.delivered).contains(data.toString());
    assertThat(agent.busyFlows()).isEqualTo(CAPACITY + SPARE);
  }

  @Test
  void repetitionOfAnAnsweredRequestDoesNotCountAsInProgress() {
    told(TargetPhase.READY, false, 1);
    openFlow(1);
    Segment data = Fleet.data(Fleet.flow(1), 101, 10);
    forwarded(data);
    answer(1);
    forwarded(data);
    assertThat(agent.busyFlows()).isEqualTo(0);
  }

  @Test
  void requestWhoseAnswerNeverComesStopsCountingAsInProgress() {
    openFlow(1);
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(agent.busyFlows()).isEqualTo(1);
    nowMs += Fleet.POLICY.requests().forgetMs();
    agent.onTick(nowMs);
    assertThat(agent.busyFlows()).isEqualTo(0);
  }

  @Test
  void unknownFlowIsUnlikelyAtATargetThatTookOverWhileTheAgentRuns() {
    agent.onTargetReport(
        new TargetReport(9, TargetPhase.READY, false, CAPACITY, 5, true, 0, 0), nowMs);
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.UNLIKELY);
    openFlow(2);
    assertThat(agent.onQuery(Fleet.flow(2), nowMs)).isEqualTo(FlowKnowledge.HELD);
  }

  @Test
  void targetThatTurnsOutToHoldAnUnknownFlowIsNoLongerTakenForNew() {
    agent.onTargetReport(
        new TargetReport(9, TargetPhase.READY, false, CAPACITY, 5, true, 0, 0), nowMs);
    fromTarget(Fleet.data(Fleet.flow(3), 2, 100));
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.UNKNOWN);
  }
}
