package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.state.Revision;
import io.moorstage.core.state.TargetPhase;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests how an agent detects that its target is cold, has ended, or is to be ejected. */
class FlowAgentTargetTest extends AgentTestBase {
  /** How long a balancer avoids an ejected target after a report or a give-back. */
  private static final int SUSPICION_MS = 1_000;

  private void advanceToNextCheck() {
    int before = actions.targetChecks;
    for (int i = 0; i < 100 && actions.targetChecks == before; i++) {
      nowMs += 20;
      agent.onTick(nowMs);
    }
    assertThat(actions.targetChecks).isEqualTo(before + 1);
  }

  private void confirmTargetEnded() {
    advanceToNextCheck();
    agent.onTargetCheck(true, nowMs);
    assertThat(agent.hasTargetEnded()).isFalse();
    advanceToNextCheck();
    agent.onTargetCheck(true, nowMs);
    assertThat(agent.hasTargetEnded()).isTrue();
  }

  // Guards against new flows at a draining target: a balancer that has just started may have read a
  // source that was restored from an older copy, and report the target as ready.
  @Test
  void targetThatLeavesGetsNoNewFlowThoughABalancerReportsItAsReadyAgain() {
    agent.onTargetReport(report(TargetPhase.DRAINING, Revision.of(1, 18), 5), nowMs);
    agent.onTargetReport(report(TargetPhase.READY, Revision.of(2, 3), 5), nowMs);
    forward(Fleet.open(Fleet.flow(1), 0));
    assertThat(actions.givenBack).containsExactly(GiveBackReason.LEAVING);

    agent.onTargetReport(report(TargetPhase.READY, Revision.of(2, 4), 6), nowMs);
    forward(Fleet.open(Fleet.flow(2), 0));
    assertThat(actions.givenBack).hasSize(1);
  }

  private static TargetReport report(TargetPhase phase, long revision, long startNumber) {
    return new TargetReport(revision, phase, false, CAPACITY, startNumber, false, 0, 0);
  }

  @Test
  void flowsOfATargetThatHasEndedAreResetAndNewOnesGoElsewhereAtOnce() {
    openFlow(1);
    receiveFromTarget(Fleet.data(Fleet.flow(1), 2, 100));
    openFlow(2);
    receiveFromTarget(Fleet.data(Fleet.flow(2), 2, 100));
    forward(Fleet.data(Fleet.flow(1), 101, 10));
    confirmTargetEnded();
    assertThat(actions.reset).containsExactly(Fleet.flow(1));

    forward(Fleet.data(Fleet.flow(2), 101, 10));
    assertThat(actions.reset).containsExactly(Fleet.flow(1), Fleet.flow(2));
    forward(Fleet.open(Fleet.flow(3), 0));
    assertThat(actions.givenBack).containsExactly(GiveBackReason.ENDED);
    assertThat(agent.onQuery(Fleet.flow(9), nowMs)).isEqualTo(FlowQueryResult.NOT_HELD);
    assertThat(agent.onQuery(Fleet.flow(1), nowMs)).isEqualTo(FlowQueryResult.LOST);
  }

  // Guards against the reset of a live flow: another target that also got the opening, or an offer
  // of the flow, may hold it.
  @Test
  void flowThatAnEndedTargetMayNeverHaveHeldIsGivenBackAndNotReset() {
    openFlow(1);
    forward(Fleet.data(Fleet.flow(1), 101, 10));
    forward(Fleet.data(Fleet.flow(2), 501, 10));
    confirmTargetEnded();
    forward(Fleet.data(Fleet.flow(1), 101, 10));
    forward(Fleet.data(Fleet.flow(2), 501, 10));
    assertThat(actions.reset).isEmpty();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.NOT_HELD, GiveBackReason.NOT_HELD);
  }

  @Test
  void targetThatAcceptsTheCheckOrSendsASegmentCountsAsRunning() {
    openFlow(1);
    forward(Fleet.data(Fleet.flow(1), 101, 10));
    advanceToNextCheck();
    agent.onTargetCheck(true, nowMs);
    respond(1);
    agent.onTargetCheck(true, nowMs);
    assertThat(agent.hasTargetEnded()).isFalse();
    forward(Fleet.data(Fleet.flow(1), 111, 10));
    advanceToNextCheck();
    agent.onTargetCheck(false, nowMs);
    agent.onTargetCheck(true, nowMs);
    assertThat(agent.hasTargetEnded()).isFalse();
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void targetThatRespondsAsUsualIsNotChecked() {
    openFlow(1);
    for (int i = 0; i < 100; i++) {
      forward(Fleet.data(Fleet.flow(1), 101 + 10 * i, 10));
      nowMs += 20;
      agent.onTick(nowMs);
      respond(1);
    }
    assertThat(actions.targetChecks).isEqualTo(0);
  }

  @Test
  void targetThatIsListedAgainAfterItsEndGetsNewFlows() {
    reportTarget(TargetPhase.READY, false, 1);
    forward(Fleet.open(Fleet.flow(1), 0));
    confirmTargetEnded();
    agent.onTargetReport(
        new TargetReport(4, TargetPhase.READY, false, CAPACITY, 7, false, 0, 0), nowMs);
    forward(Fleet.open(Fleet.flow(2), 0));
    assertThat(actions.delivered).contains(Fleet.open(Fleet.flow(2), 0).toString());
  }

  private int countGivenBackAsUnfit() {
    return (int) actions.givenBack.stream().filter(GiveBackReason.UNFIT::equals).count();
  }

  private void breakOff(int port) {
    openFlow(port);
    forward(Fleet.data(Fleet.flow(port), 101, 10));
    Segment reset = new Segment(Fleet.flow(port), Segment.Kind.RESET, 0, false, 2, 0, 0);
    receiveFromTarget(reset);
  }

  // Guards against a target that resets all requests while its health check succeeds: without the
  // ejection each such target got 58 requests in 5.5 s.
  @Test
  void targetThatBreaksOffConsecutiveRequestsIsEjected() {
    breakOff(1);
    breakOff(2);
    assertThat(agent.isTargetEjected()).isFalse();
    breakOff(3);
    assertThat(agent.isTargetEjected()).isTrue();
    forward(Fleet.open(Fleet.flow(4), 0));
    assertThat(countGivenBackAsUnfit()).isEqualTo(1);
  }

  // Guards against false failures: the short closing segment arrived before the response in half of
  // all cases.
  @Test
  void closeThatOvertakesTheResponseDoesNotCountAsAFailure() {
    for (int port = 1; port <= 5; port++) {
      openFlow(port);
      forward(Fleet.data(Fleet.flow(port), 101, 10));
      receiveFromTarget(Fleet.close(Fleet.flow(port), 102));
      receiveFromTarget(Fleet.data(Fleet.flow(port), 2, 100));
    }
    assertThat(agent.isTargetEjected()).isFalse();
  }

  @Test
  void closeWithoutAResponseCountsAsAFailure() {
    for (int port = 1; port <= 3; port++) {
      openFlow(port);
      forward(Fleet.data(Fleet.flow(port), 101, 10));
      receiveFromTarget(Fleet.close(Fleet.flow(port), 2));
    }
    assertThat(agent.isTargetEjected()).isTrue();
  }

  @Test
  void targetThatRespondsBetweenFailuresIsNotEjected() {
    for (int port = 1; port <= 20; port += 2) {
      breakOff(port);
      openFlow(port + 1);
      forward(Fleet.data(Fleet.flow(port + 1), 101, 10));
      respond(port + 1);
    }
    assertThat(agent.isTargetEjected()).isFalse();
  }

  @Test
  void ejectedTargetIsProbedWithOneRepeatableFlowAndUsedAgainOnceItResponds() {
    breakOff(1);
    breakOff(2);
    breakOff(3);
    nowMs += 1_100;
    repeatable = false;
    forward(Fleet.open(Fleet.flow(4), 0));
    assertThat(countGivenBackAsUnfit()).isEqualTo(1);
    repeatable = true;
    openFlow(5);
    forward(Fleet.open(Fleet.flow(6), 0));
    assertThat(countGivenBackAsUnfit()).isEqualTo(2);
    forward(Fleet.data(Fleet.flow(5), 101, 10));
    respond(5);
    assertThat(agent.isTargetEjected()).isFalse();
  }

  @Test
  void targetWhoseProbeFailsIsEjectedForLonger() {
    breakOff(1);
    breakOff(2);
    breakOff(3);
    nowMs += 1_100;
    breakOff(4);
    assertThat(countGivenBackAsUnfit()).isEqualTo(0);
    nowMs += 1_100;
    forward(Fleet.open(Fleet.flow(5), 0));
    assertThat(countGivenBackAsUnfit()).isEqualTo(1);
    nowMs += 1_000;
    forward(Fleet.open(Fleet.flow(6), 0));
    assertThat(countGivenBackAsUnfit()).isEqualTo(1);
  }

  // Guards against an ejection that is reported for ever: balancers then choose other targets, and
  // the probe that would end the ejection never comes.
  @Test
  void ejectionIsNotReportedOnceAProbeIsDue() {
    breakOff(1);
    breakOff(2);
    breakOff(3);
    nowMs += 999;
    agent.onTick(nowMs);
    assertThat(agent.isTargetEjected()).isTrue();
    nowMs += 1;
    agent.onTick(nowMs);
    assertThat(agent.isTargetEjected()).isFalse();

    openFlow(4);
    assertThat(agent.isTargetEjected()).isTrue();
    nowMs += 1_000;
    agent.onTick(nowMs);
    assertThat(agent.isTargetEjected()).isTrue();
    nowMs += 1;
    agent.onTick(nowMs);
    assertThat(agent.isTargetEjected()).isFalse();
    breakOff(4);
    nowMs += 1_999;
    agent.onTick(nowMs);
    assertThat(agent.isTargetEjected()).isTrue();
    nowMs += 1;
    agent.onTick(nowMs);
    assertThat(agent.isTargetEjected()).isFalse();
  }

  // Guards against a probe that comes late because the balancer avoids the target after each report
  // or give-back, and against many openings that are given back around the probe.
  @Test
  void balancerThatAvoidsAnEjectedTargetSendsItsProbeSoonAfterItIsDue() {
    TargetSlot slot = new TargetSlot(Fleet.target(1, TargetPhase.READY, 1), 0);
    breakOff(1);
    breakOff(2);
    breakOff(3);
    final long dueAtMs = nowMs + 1_000;
    int port = 10;
    int probePort = 0;
    long probedAtMs = 0;
    for (; nowMs < dueAtMs + 800; nowMs += 5) {
      agent.onTick(nowMs);
      if (nowMs % 100 == 0) {
        slot.recordEjection(agent.isTargetEjected(), SUSPICION_MS, nowMs);
      }
      if (slot.isEjected(nowMs)) {
        continue;
      }
      port++;
      repeatable = port % 3 != 0;
      int unfitBefore = countGivenBackAsUnfit();
      forward(Fleet.open(Fleet.flow(port), 0));
      if (countGivenBackAsUnfit() > unfitBefore) {
        slot.recordEjection(true, SUSPICION_MS, nowMs);
      } else if (probePort == 0) {
        probePort = port;
        probedAtMs = nowMs;
        receiveFromTarget(Fleet.accepted(Fleet.flow(port)));
      }
    }
    assertThat(probedAtMs - dueAtMs).isIn(Range.closed(0L, 200L));
    assertThat(countGivenBackAsUnfit()).isAtMost(3);
    forward(Fleet.data(Fleet.flow(probePort), 101, 10));
    respond(probePort);
    assertThat(agent.isTargetEjected()).isFalse();
  }

  // Guards against an ejection that no flow can end, since an agent that rejects no openings for an
  // ejection did not count any of them as the probe.
  @Test
  void firstFlowAfterAnEjectionIsTheProbeThoughEjectionsRejectNone() {
    FlowAgent lenient =
        new FlowAgent(
            Fleet.POLICY.without(Set.of(Mechanism.OUTLIER_REFUSAL)),
            Fleet.SERVICE,
            actions,
            DecisionLog.NONE,
            0);
    ForwardTerms terms = new ForwardTerms(Fleet.SERVICE, 1, TIMEOUT_MS, 0, true, false);
    for (int port = 1; port <= 4; port++) {
      FlowId flow = Fleet.flow(port);
      Segment open = Fleet.open(flow, 0);
      Segment request = Fleet.data(flow, 101, 10);
      Segment accepted = Fleet.accepted(flow);
      lenient.onForwarded(Fleet.BALANCER, terms, open, Fleet.bytes(open), nowMs);
      lenient.onTargetSegment(accepted, Fleet.bytes(accepted), nowMs);
      lenient.onForwarded(Fleet.BALANCER, terms, request, Fleet.bytes(request), nowMs);
      Segment end =
          port < 4
              ? new Segment(flow, Segment.Kind.RESET, 0, false, 2, 0, 0)
              : Fleet.data(flow, 2, 100);
      lenient.onTargetSegment(end, Fleet.bytes(end), nowMs);
      if (port == 3) {
        assertThat(lenient.isTargetEjected()).isTrue();
        nowMs += 1_100;
      }
    }
    assertThat(lenient.isTargetEjected()).isFalse();
  }

  @Test
  void targetWithoutAResponseForMuchLongerThanUsualIsEjected() {
    openFlow(1);
    forward(Fleet.data(Fleet.flow(1), 101, 10));
    nowMs += 400;
    agent.onTick(nowMs);
    assertThat(agent.isTargetEjected()).isFalse();
    nowMs += 20;
    agent.onTick(nowMs);
    assertThat(agent.isTargetEjected()).isTrue();
  }

  @Test
  void requestThatItsClientHasGivenUpDoesNotCountAsAFailure() {
    for (int port = 1; port <= 5; port++) {
      openFlow(port);
      forward(Fleet.data(Fleet.flow(port), 101, 10));
      forward(Fleet.close(Fleet.flow(port), 111));
      receiveFromTarget(Fleet.close(Fleet.flow(port), 2));
    }
    assertThat(agent.isTargetEjected()).isFalse();
  }

  @Test
  void ejectedTargetGetsAFlowWhoseBalancerOverridesTheEjection() {
    breakOff(1);
    breakOff(2);
    breakOff(3);
    overridesEjection = true;
    forward(Fleet.open(Fleet.flow(4), 0));
    assertThat(countGivenBackAsUnfit()).isEqualTo(0);
    assertThat(actions.delivered).contains(Fleet.open(Fleet.flow(4), 0).toString());
  }

  private int countAdmitted(int openings) {
    int before = actions.delivered.size();
    for (int i = 0; i < openings; i++) {
      forward(Fleet.open(Fleet.flow(nextPort++), 0));
    }
    return actions.delivered.size() - before;
  }

  @Test
  void coldTargetGetsNoMoreOpeningsInAnySecondThanItsLimit() {
    coldOpeningsPerS = 10;
    reportTarget(TargetPhase.READY, false, 1);
    assertThat(countAdmitted(6)).isEqualTo(6);
    nowMs += 900;
    assertThat(countAdmitted(6)).isEqualTo(4);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.COLD, GiveBackReason.COLD);
    nowMs += 200;
    // The window has dropped the first six openings, and still contains the four later ones.
    assertThat(countAdmitted(20)).isEqualTo(6);
  }

  @Test
  void warmTargetGetsAllOpenings() {
    coldOpeningsPerS = 10;
    reportTarget(TargetPhase.READY, false, 1);
    nowMs += COLD_START_MS + 1;
    assertThat(countAdmitted(50)).isEqualTo(50);
  }

  @Test
  void targetCountsAsColdAgainAfterAnEvacuationAndAfterAnotherStart() {
    coldOpeningsPerS = 10;
    reportTarget(TargetPhase.READY, false, 1);
    nowMs += 10_000;
    reportTarget(TargetPhase.READY, true, 2);
    nowMs += 10_000;
    reportTarget(TargetPhase.READY, false, 3);
    assertThat(countAdmitted(50)).isEqualTo(10);

    nowMs += 10_000;
    assertThat(countAdmitted(50)).isEqualTo(50);
    nowMs += 10_000;
    agent.onTargetReport(
        new TargetReport(4, TargetPhase.READY, false, CAPACITY, 7, false, 0, COLD_START_MS), nowMs);
    assertThat(countAdmitted(50)).isEqualTo(10);
  }

  @Test
  void recordWithALongerSlowStartMakesItsTargetCold() {
    coldOpeningsPerS = 10;
    reportTarget(TargetPhase.READY, false, 1);
    nowMs += 10_000;
    agent.onTargetReport(
        new TargetReport(4, TargetPhase.READY, false, CAPACITY, 5, false, 1_500, COLD_START_MS),
        nowMs);
    assertThat(countAdmitted(50)).isEqualTo(10);
  }

  // Guards against too many new flows at a cold target: the agent may have been restarted
  // at the same time as its target.
  @Test
  void agentWithoutAnyReportTreatsItsTargetAsCold() {
    coldOpeningsPerS = 10;
    nowMs += 1_000_000;
    assertThat(countAdmitted(50)).isEqualTo(10);
  }

  @Test
  void coldTargetOfAServiceWithoutALimitGetsAllOpenings() {
    reportTarget(TargetPhase.READY, false, 1);
    assertThat(countAdmitted(50)).isEqualTo(50);
  }

  // Guards against repeated target-phase lines while the target drains: the report of a balancer
  // that had read a restored source counted as a change though the draining phase was kept.
  @Test
  void reportThatDoesNotEndADrainIsNoChangeOfThePhase() {
    assertThat(agent.onTargetReport(report(TargetPhase.DRAINING, Revision.of(1, 18), 5), nowMs))
        .isTrue();
    assertThat(agent.onTargetReport(report(TargetPhase.READY, Revision.of(2, 3), 5), nowMs))
        .isFalse();
    assertThat(agent.onTargetReport(report(TargetPhase.READY, Revision.of(2, 4), 6), nowMs))
        .isTrue();
  }

  private void ejectUntilAProbeIsDue() {
    breakOff(1);
    breakOff(2);
    breakOff(3);
    nowMs += 1_100;
  }

  private void assertProbeIsAdmitted(int port) {
    Segment open = Fleet.open(Fleet.flow(port), 0);
    forward(open);
    assertThat(actions.delivered).contains(open.toString());
  }

  // Guards against a longer ejection: an opening that was rejected for another reason used up the
  // probe, and the next one was due a second later.
  @Test
  void openingOfAnotherServiceDoesNotUseUpTheProbeOfAnEjectedTarget() {
    ejectUntilAProbeIsDue();
    forward(Fleet.open(Fleet.flow(4), 0), "bundles", 1);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.OTHER_SERVICE);
    assertProbeIsAdmitted(5);
  }

  @Test
  void openingBeyondTheColdStartLimitDoesNotUseUpTheProbeOfAnEjectedTarget() {
    coldOpeningsPerS = 3;
    ejectUntilAProbeIsDue();
    overridesEjection = true;
    assertThat(countAdmitted(3)).isEqualTo(3);
    overridesEjection = false;
    forward(Fleet.open(Fleet.flow(4), 0));
    assertThat(actions.givenBack).containsExactly(GiveBackReason.COLD);
    coldOpeningsPerS = 0;
    assertProbeIsAdmitted(5);
  }
}
