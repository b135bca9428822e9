package io.moorstage.core.transparent;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class FlowAgentTest {
  private static final int CAPACITY = 2;
  private static final int SPARE = 2;
  private static final int TIMEOUT_MS = 3_000;
  private static final int COLD_START_MS = 2_000;

  private final Fleet.AgentRecord actions = new Fleet.AgentRecord();
  private final FlowAgent agent =
      new FlowAgent(Fleet.POLICY, Fleet.SERVICE, actions, DecisionLog.NONE, 0);
  private long nowMs = 1_000;
  private int coldOpeningsPerS;
  private int nextPort = 10_000;

  private void forwarded(Segment segment) {
    forwarded(segment, Fleet.SERVICE, 1);
  }

  private void forwarded(Segment segment, String service, long version) {
    forwarded(segment, service, version, TIMEOUT_MS);
  }

  private void forwarded(Segment segment, String service, long version, int timeoutMs) {
    ForwardTerms terms = new ForwardTerms(service, version, timeoutMs, coldOpeningsPerS);
    agent.onForwarded(Fleet.BALANCER, terms, segment, Fleet.bytes(segment), nowMs);
  }

  private boolean told(TargetPhase phase, boolean evacuated, long revision) {
    return agent.onTarget(
        new TargetNews(revision, phase, evacuated, CAPACITY, 5, false, 0, COLD_START_MS), nowMs);
  }

  private void fromTarget(Segment segment) {
    agent.onTargetSegment(segment, Fleet.bytes(segment), nowMs);
  }

  private void openFlow(int port) {
    forwarded(Fleet.open(Fleet.flow(port), 0));
    fromTarget(Fleet.accepted(Fleet.flow(port)));
  }

  private void answer(int port) {
    fromTarget(Fleet.data(Fleet.flow(port), 2, 100));
  }

  @Test
  void openingOfAnotherServiceNeverReachesTheTarget() {
    forwarded(Fleet.open(Fleet.flow(1), 0), "bundles", 1);
    assertThat(actions.delivered).isEmpty();
    assertThat(actions.givenBack).containsExactly(ReturnReason.OTHER_SERVICE);
  }

  @Test
  void openingUnderAnOlderConfigurationThanOneInEffectIsGivenBack() {
    forwarded(Fleet.open(Fleet.flow(1), 0), Fleet.SERVICE, 7);
    forwarded(Fleet.open(Fleet.flow(2), 0), Fleet.SERVICE, 6);
    assertThat(actions.delivered).hasSize(1);
    assertThat(actions.givenBack).containsExactly(ReturnReason.OLD_CONFIGURATION);
  }

  @Test
  void leavingTargetGetsNoOpeningAndKeepsItsFlows() {
    openFlow(1);
    told(TargetPhase.DRAINING, false, 9);
    forwarded(Fleet.open(Fleet.flow(2), 0));
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.delivered).hasSize(2);
    assertThat(actions.givenBack).containsExactly(ReturnReason.LEAVING);
  }

  private void awaitCheck() {
    int before = actions.targetChecks;
    for (int i = 0; i < 100 && actions.targetChecks == before; i++) {
      nowMs += 20;
      agent.onTick(nowMs);
    }
    assertThat(actions.targetChecks).isEqualTo(before + 1);
  }

  private void findTargetEnded() {
    awaitCheck();
    agent.onTargetCheck(true, nowMs);
    assertThat(agent.hasTargetEnded()).isFalse();
    awaitCheck();
    agent.onTargetCheck(true, nowMs);
    assertThat(agent.hasTargetEnded()).isTrue();
  }

  @Test
  void flowsOfATargetThatHasEndedAreResetAndNewOnesGoElsewhereAtOnce() {
    openFlow(1);
    fromTarget(Fleet.data(Fleet.flow(1), 2, 100));
    openFlow(2);
    fromTarget(Fleet.data(Fleet.flow(2), 2, 100));
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    findTargetEnded();
    assertThat(actions.reset).containsExactly(Fleet.flow(1));

    forwarded(Fleet.data(Fleet.flow(2), 101, 10));
    assertThat(actions.reset).containsExactly(Fleet.flow(1), Fleet.flow(2));
    forwarded(Fleet.open(Fleet.flow(3), 0));
    assertThat(actions.givenBack).containsExactly(ReturnReason.ENDED);
    assertThat(agent.onAsked(Fleet.flow(9), nowMs)).isEqualTo(FlowKnowledge.NOT_HELD);
    assertThat(agent.onAsked(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.LOST);
  }

  // It may be held by another target that has got the opening or an offer too.
  @Test
  void flowThatAnEndedTargetMayNeverHaveHeldIsGivenBackAndNotReset() {
    openFlow(1);
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    forwarded(Fleet.data(Fleet.flow(2), 501, 10));
    findTargetEnded();
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    forwarded(Fleet.data(Fleet.flow(2), 501, 10));
    assertThat(actions.reset).isEmpty();
    assertThat(actions.givenBack).containsExactly(ReturnReason.NOT_HELD, ReturnReason.NOT_HELD);
  }

  @Test
  void targetThatTakesTheCheckOrAnswersMeanwhileCountsAsRunning() {
    openFlow(1);
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    awaitCheck();
    agent.onTargetCheck(true, nowMs);
    answer(1);
    agent.onTargetCheck(true, nowMs);
    assertThat(agent.hasTargetEnded()).isFalse();
    forwarded(Fleet.data(Fleet.flow(1), 111, 10));
    awaitCheck();
    agent.onTargetCheck(false, nowMs);
    agent.onTargetCheck(true, nowMs);
    assertThat(agent.hasTargetEnded()).isFalse();
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void targetThatAnswersAsUsualIsNotChecked() {
    openFlow(1);
    for (int i = 0; i < 100; i++) {
      forwarded(Fleet.data(Fleet.flow(1), 101 + 10 * i, 10));
      nowMs += 20;
      agent.onTick(nowMs);
      answer(1);
    }
    assertThat(actions.targetChecks).isEqualTo(0);
  }

  @Test
  void targetThatIsListedAnewAfterItsEndGetsNewFlows() {
    told(TargetPhase.READY, false, 1);
    forwarded(Fleet.open(Fleet.flow(1), 0));
    findTargetEnded();
    agent.onTarget(new TargetNews(4, TargetPhase.READY, false, CAPACITY, 7, false, 0, 0), nowMs);
    forwarded(Fleet.open(Fleet.flow(2), 0));
    assertThat(actions.delivered).contains(Fleet.open(Fleet.flow(2), 0).toString());
  }

  // The bound must not depend on the balancer that hears last of the evacuation.
  @Test
  void targetOfAnEvacuatedZoneGetsNoOpeningWhateverABalancerSendsAndKeepsItsFlows() {
    openFlow(1);
    assertThat(told(TargetPhase.READY, true, 9)).isTrue();
    forwarded(Fleet.open(Fleet.flow(2), 0));
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.delivered).hasSize(2);
    assertThat(actions.givenBack).containsExactly(ReturnReason.EVACUATED);

    assertThat(told(TargetPhase.READY, false, 8)).isFalse();
    forwarded(Fleet.open(Fleet.flow(3), 0));
    assertThat(actions.delivered).hasSize(2);
    assertThat(told(TargetPhase.READY, false, 12)).isTrue();
    forwarded(Fleet.open(Fleet.flow(3), 0));
    assertThat(actions.delivered).hasSize(3);
  }

  private int admitted(int openings) {
    int before = actions.delivered.size();
    for (int i = 0; i < openings; i++) {
      forwarded(Fleet.open(Fleet.flow(nextPort++), 0));
    }
    return actions.delivered.size() - before;
  }

  @Test
  void coldTargetGetsNoMoreOpeningsInAnySecondThanItBears() {
    coldOpeningsPerS = 10;
    told(TargetPhase.READY, false, 1);
    assertThat(admitted(6)).isEqualTo(6);
    nowMs += 900;
    assertThat(admitted(6)).isEqualTo(4);
    assertThat(actions.givenBack).containsExactly(ReturnReason.COLD, ReturnReason.COLD);
    nowMs += 200;
    // Six of the second that now ends have left the window, four have not.
    assertThat(admitted(20)).isEqualTo(6);
  }

  @Test
  void targetThatIsWarmGetsAllOpenings() {
    coldOpeningsPerS = 10;
    told(TargetPhase.READY, false, 1);
    nowMs += COLD_START_MS + 1;
    assertThat(admitted(50)).isEqualTo(50);
  }

  @Test
  void targetCountsAsColdAgainAfterAnEvacuationAndAfterAnotherStart() {
    coldOpeningsPerS = 10;
    told(TargetPhase.READY, false, 1);
    nowMs += 10_000;
    told(TargetPhase.READY, true, 2);
    nowMs += 10_000;
    told(TargetPhase.READY, false, 3);
    assertThat(admitted(50)).isEqualTo(10);

    nowMs += 10_000;
    assertThat(admitted(50)).isEqualTo(50);
    nowMs += 10_000;
    agent.onTarget(
        new TargetNews(4, TargetPhase.READY, false, CAPACITY, 7, false, 0, COLD_START_MS), nowMs);
    assertThat(admitted(50)).isEqualTo(10);
  }

  @Test
  void recordThatTurnsColdMakesItsTargetCold() {
    coldOpeningsPerS = 10;
    told(TargetPhase.READY, false, 1);
    nowMs += 10_000;
    agent.onTarget(
        new TargetNews(4, TargetPhase.READY, false, CAPACITY, 5, false, 1_500, COLD_START_MS),
        nowMs);
    assertThat(admitted(50)).isEqualTo(10);
  }

  // It may have been restarted beside a target that has just started.
  @Test
  void agentThatNobodyHasToldAnythingTakesItsTargetForCold() {
    coldOpeningsPerS = 10;
    nowMs += 1_000_000;
    assertThat(admitted(50)).isEqualTo(10);
  }

  @Test
  void coldTargetOfAServiceWithoutALimitGetsAllOpenings() {
    told(TargetPhase.READY, false, 1);
    assertThat(admitted(50)).isEqualTo(50);
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
    assertThat(actions.givenBack).containsExactly(ReturnReason.FULL);
  }

  @Test
  void unansweredOpeningIsGivenBackAndALateAnswerIsNotPassedOn() {
    forwarded(Fleet.open(Fleet.flow(1), 0));
    nowMs += Fleet.POLICY.silenceMs();
    agent.onTick(nowMs);
    assertThat(actions.givenBack).containsExactly(ReturnReason.SILENT);
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
    assertThat(agent.onAsked(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.LOST);
  }

  @Test
  void flowThatWasOnlyAcceptedHereAndOpenedElsewhereIsGivenBackAndNotReset() {
    openFlow(1);
    Segment data = Fleet.data(Fleet.flow(1), 101, 10);
    forwarded(data);
    fromTarget(Fleet.returned(data));
    assertThat(actions.reset).isEmpty();
    assertThat(actions.givenBack).containsExactly(ReturnReason.NOT_HELD);
    assertThat(agent.onAsked(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.NOT_HELD);
  }

  @Test
  void restartedAgentLearnsItsFlowsFromTheTarget() {
    assertThat(agent.onAsked(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.UNKNOWN);
    answer(1);
    assertThat(agent.onAsked(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.HELD);
  }

  @Test
  void restartedAgentOffersAnUnknownFlowToItsTarget() {
    Segment data = Fleet.data(Fleet.flow(1), 101, 10);
    forwarded(data);
    assertThat(actions.delivered).hasSize(1);
    fromTarget(Fleet.returned(data));
    assertThat(actions.givenBack).containsExactly(ReturnReason.NOT_HELD);
  }

  @Test
  void agentThatHasRunForLongKnowsThatAnUnknownFlowIsNotHeld() {
    nowMs = Fleet.POLICY.flowMemoryMs() + 1;
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.delivered).isEmpty();
    assertThat(actions.givenBack).containsExactly(ReturnReason.NOT_HELD);
    assertThat(agent.onAsked(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.NOT_HELD);
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
    nowMs += Fleet.POLICY.requestWaitMs();
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
    nowMs += Fleet.POLICY.requestTurnMs();
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
    nowMs += Fleet.POLICY.requestForgetMs();
    agent.onTick(nowMs);
    assertThat(agent.busyFlows()).isEqualTo(0);
  }

  @Test
  void unknownFlowIsUnlikelyAtATargetThatTookOverWhileTheAgentRuns() {
    agent.onTarget(new TargetNews(9, TargetPhase.READY, false, CAPACITY, 5, true, 0, 0), nowMs);
    assertThat(agent.onAsked(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.UNLIKELY);
    openFlow(2);
    assertThat(agent.onAsked(Fleet.flow(2), nowMs)).isEqualTo(FlowKnowledge.HELD);
  }

  @Test
  void targetThatTurnsOutToHoldAnUnknownFlowIsNoLongerTakenForNew() {
    agent.onTarget(new TargetNews(9, TargetPhase.READY, false, CAPACITY, 5, true, 0, 0), nowMs);
    fromTarget(Fleet.data(Fleet.flow(3), 2, 100));
    assertThat(agent.onAsked(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.UNKNOWN);
  }
}
