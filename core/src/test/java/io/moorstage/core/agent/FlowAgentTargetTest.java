package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.FlowKnowledge;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.state.Revision;
import io.moorstage.core.state.TargetPhase;
import org.junit.jupiter.api.Test;

/** What an agent concludes of its target: cold, ended, unfit. */
class FlowAgentTargetTest extends AgentTestBase {
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

  // A balancer that has just started has read a source that came back from an older copy.
  @Test
  void targetThatLeavesGetsNoNewFlowThoughABalancerReportsItAsReadyAgain() {
    agent.onTargetReport(report(TargetPhase.DRAINING, Revision.of(1, 18), 5), nowMs);
    agent.onTargetReport(report(TargetPhase.READY, Revision.of(2, 3), 5), nowMs);
    forwarded(Fleet.open(Fleet.flow(1), 0));
    assertThat(actions.givenBack).containsExactly(GiveBackReason.LEAVING);

    agent.onTargetReport(report(TargetPhase.READY, Revision.of(2, 4), 6), nowMs);
    forwarded(Fleet.open(Fleet.flow(2), 0));
    assertThat(actions.givenBack).hasSize(1);
  }

  private static TargetReport report(TargetPhase phase, long revision, long startNumber) {
    return new TargetReport(revision, phase, false, CAPACITY, startNumber, false, 0, 0);
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
    assertThat(actions.givenBack).containsExactly(GiveBackReason.ENDED);
    assertThat(agent.onQuery(Fleet.flow(9), nowMs)).isEqualTo(FlowKnowledge.NOT_HELD);
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowKnowledge.LOST);
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
    assertThat(actions.givenBack).containsExactly(GiveBackReason.NOT_HELD, GiveBackReason.NOT_HELD);
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
    agent.onTargetReport(
        new TargetReport(4, TargetPhase.READY, false, CAPACITY, 7, false, 0, 0), nowMs);
    forwarded(Fleet.open(Fleet.flow(2), 0));
    assertThat(actions.delivered).contains(Fleet.open(Fleet.flow(2), 0).toString());
  }

  private int givenBackAsUnfit() {
    return (int) actions.givenBack.stream().filter(GiveBackReason.UNFIT::equals).count();
  }

  private void breakOff(int port) {
    openFlow(port);
    forwarded(Fleet.data(Fleet.flow(port), 101, 10));
    Segment reset = new Segment(Fleet.flow(port), Segment.Kind.RESET, 0, false, 2, 0, 0);
    fromTarget(reset);
  }

  // Each such target took 58 requests in 5.5 s, while its health check said that it was well.
  @Test
  void targetThatBreaksOffSeveralRequestsInARowGetsNoNewFlowForAWhile() {
    breakOff(1);
    breakOff(2);
    assertThat(agent.isTargetUnfit()).isFalse();
    breakOff(3);
    assertThat(agent.isTargetUnfit()).isTrue();
    forwarded(Fleet.open(Fleet.flow(4), 0));
    assertThat(givenBackAsUnfit()).isEqualTo(1);
  }

  // The closing segment is short, and came before the answer in half of all cases.
  @Test
  void closeThatOvertakesTheAnswerDoesNotCountAgainstTheTarget() {
    for (int port = 1; port <= 5; port++) {
      openFlow(port);
      forwarded(Fleet.data(Fleet.flow(port), 101, 10));
      fromTarget(Fleet.close(Fleet.flow(port), 102));
      fromTarget(Fleet.data(Fleet.flow(port), 2, 100));
    }
    assertThat(agent.isTargetUnfit()).isFalse();
  }

  @Test
  void closeWithoutAnAnswerCountsAgainstTheTarget() {
    for (int port = 1; port <= 3; port++) {
      openFlow(port);
      forwarded(Fleet.data(Fleet.flow(port), 101, 10));
      fromTarget(Fleet.close(Fleet.flow(port), 2));
    }
    assertThat(agent.isTargetUnfit()).isTrue();
  }

  @Test
  void targetThatAnswersInBetweenStaysInUse() {
    for (int port = 1; port <= 20; port += 2) {
      breakOff(port);
      openFlow(port + 1);
      forwarded(Fleet.data(Fleet.flow(port + 1), 101, 10));
      answer(port + 1);
    }
    assertThat(agent.isTargetUnfit()).isFalse();
  }

  @Test
  void unfitTargetIsTriedWithOneRepeatableFlowAndIsBackInUseOnceItAnswers() {
    breakOff(1);
    breakOff(2);
    breakOff(3);
    nowMs += 1_100;
    repeatable = false;
    forwarded(Fleet.open(Fleet.flow(4), 0));
    assertThat(givenBackAsUnfit()).isEqualTo(1);
    repeatable = true;
    openFlow(5);
    forwarded(Fleet.open(Fleet.flow(6), 0));
    assertThat(givenBackAsUnfit()).isEqualTo(2);
    forwarded(Fleet.data(Fleet.flow(5), 101, 10));
    answer(5);
    assertThat(agent.isTargetUnfit()).isFalse();
  }

  @Test
  void targetWhoseTrialFailsIsLeftOutForLonger() {
    breakOff(1);
    breakOff(2);
    breakOff(3);
    nowMs += 1_100;
    breakOff(4);
    assertThat(givenBackAsUnfit()).isEqualTo(0);
    nowMs += 1_100;
    forwarded(Fleet.open(Fleet.flow(5), 0));
    assertThat(givenBackAsUnfit()).isEqualTo(1);
    nowMs += 1_000;
    forwarded(Fleet.open(Fleet.flow(6), 0));
    assertThat(givenBackAsUnfit()).isEqualTo(1);
  }

  @Test
  void targetThatAnswersNothingForMuchLongerThanUsualIsUnfit() {
    openFlow(1);
    forwarded(Fleet.data(Fleet.flow(1), 101, 10));
    nowMs += 400;
    agent.onTick(nowMs);
    assertThat(agent.isTargetUnfit()).isFalse();
    nowMs += 20;
    agent.onTick(nowMs);
    assertThat(agent.isTargetUnfit()).isTrue();
  }

  @Test
  void requestThatItsClientHasGivenUpDoesNotCountAgainstTheTarget() {
    for (int port = 1; port <= 5; port++) {
      openFlow(port);
      forwarded(Fleet.data(Fleet.flow(port), 101, 10));
      forwarded(Fleet.close(Fleet.flow(port), 111));
      fromTarget(Fleet.close(Fleet.flow(port), 2));
    }
    assertThat(agent.isTargetUnfit()).isFalse();
  }

  @Test
  void unfitTargetTakesAFlowThatABalancerInsistsOn() {
    breakOff(1);
    breakOff(2);
    breakOff(3);
    insists = true;
    forwarded(Fleet.open(Fleet.flow(4), 0));
    assertThat(givenBackAsUnfit()).isEqualTo(0);
    assertThat(actions.delivered).contains(Fleet.open(Fleet.flow(4), 0).toString());
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
    assertThat(actions.givenBack).containsExactly(GiveBackReason.COLD, GiveBackReason.COLD);
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
    agent.onTargetReport(
        new TargetReport(4, TargetPhase.READY, false, CAPACITY, 7, false, 0, COLD_START_MS), nowMs);
    assertThat(admitted(50)).isEqualTo(10);
  }

  @Test
  void recordThatTurnsColdMakesItsTargetCold() {
    coldOpeningsPerS = 10;
    told(TargetPhase.READY, false, 1);
    nowMs += 10_000;
    agent.onTargetReport(
        new TargetReport(4, TargetPhase.READY, false, CAPACITY, 5, false, 1_500, COLD_START_MS),
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
}
