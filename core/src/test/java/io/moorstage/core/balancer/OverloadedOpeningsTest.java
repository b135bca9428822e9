package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.AgentReport;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the handling of openings of overloaded services: placements, rejections and terms. */
class OverloadedOpeningsTest {
  private static final int A = 0x0A010010;
  private static final int B = 0x0A010011;
  private static final int C = 0x0A010012;
  private static final int D = 0x0A010013;
  private static final int PRIORITY = 2;
  private static final FlowId FLOW = Fleet.flow(1);
  private static final Segment OPENING = Fleet.open(FLOW, 0);
  private static final Segment COPY = Fleet.open(FLOW, 1);
  private static final int RANK = AdmissionFixture.rank(PRIORITY, FLOW.clientAddress());
  private static final String RESET = "reset-no-target overloaded";

  private final AdmissionFixture fixture = new AdmissionFixture();

  private static TargetRecord target(int address) {
    return Fleet.target(address, TargetPhase.READY, 1);
  }

  private void listFourTargets() {
    fixture.updateState(1, PRIORITY, target(A), target(B), target(C), target(D));
  }

  private void reportAll(int admittedRank, int... agents) {
    for (int agent : agents) {
      fixture.report(agent, admittedRank);
    }
  }

  private int giveBackLast(GiveBackReason reason) {
    int agent = fixture.lastForwarded().address();
    fixture.giveBack(agent, reason, OPENING);
    return agent;
  }

  @Test
  void termsHaveTheRoutesObjectiveAndPriorityAndTheClientsOrder() {
    listFourTargets();
    fixture.send(OPENING);
    assertThat(fixture.lastForwarded().terms().scheduling())
        .isEqualTo(
            new SchedulingTerms(
                AdmissionFixture.OBJECTIVE_MS,
                PRIORITY,
                ClientOrder.of(FLOW.clientAddress(), AdmissionFixture.PERIOD),
                ClientOrder.zoneKey(Fleet.ZONE)));
  }

  @Test
  void routeWithoutPriorityHasTheLowest() {
    fixture.balancer.onState(Fleet.state(1, target(A)), fixture.nowMs);
    fixture.send(OPENING);
    SchedulingTerms terms = fixture.lastForwarded().terms().scheduling();
    assertThat(terms.priority()).isEqualTo(SchedulingTerms.LOWEST_PRIORITY);
    assertThat(terms.objectiveMs()).isEqualTo(0);
    assertThat(terms.rank()).isLessThan(SchedulingTerms.ADMIT_ALL);
  }

  /** Guards against an opening that loses its place in the order while it is under way. */
  @Test
  void orderOfAnOpeningStaysWhenThePeriodAndTheConfigurationChange() {
    listFourTargets();
    fixture.send(OPENING);
    int order = fixture.lastForwarded().terms().scheduling().clientOrder();
    fixture.balancer.setOrderPeriod(AdmissionFixture.PERIOD + 1);
    fixture.updateState(2, PRIORITY + 1, target(A), target(B), target(C), target(D));
    for (Segment copy : List.of(COPY, Fleet.open(FLOW, 2))) {
      fixture.send(copy);
      SchedulingTerms terms = fixture.lastForwarded().terms().scheduling();
      assertThat(terms.clientOrder()).isEqualTo(order);
      assertThat(terms.priority()).isEqualTo(PRIORITY + 1);
    }
    giveBackLast(GiveBackReason.FULL);
    assertThat(fixture.lastForwarded().terms().scheduling().clientOrder()).isEqualTo(order);
    assertThat(ClientOrder.of(FLOW.clientAddress(), AdmissionFixture.PERIOD + 1))
        .isNotEqualTo(order);
  }

  /** Guards against a long flow whose client is last in each overload while the flow lives. */
  @Test
  void orderOfAnAcceptedFlowChangesWithThePeriod() {
    listFourTargets();
    fixture.send(OPENING);
    fixture.send(Fleet.data(FLOW, 101, 10));
    int order = fixture.lastForwarded().terms().scheduling().clientOrder();
    assertThat(order).isEqualTo(ClientOrder.of(FLOW.clientAddress(), AdmissionFixture.PERIOD));
    fixture.balancer.setOrderPeriod(AdmissionFixture.PERIOD + 1);
    fixture.updateState(2, PRIORITY + 1, target(A), target(B), target(C), target(D));
    fixture.send(Fleet.data(FLOW, 111, 10));
    SchedulingTerms terms = fixture.lastForwarded().terms().scheduling();
    assertThat(terms.clientOrder())
        .isEqualTo(ClientOrder.of(FLOW.clientAddress(), AdmissionFixture.PERIOD + 1));
    assertThat(terms.priority()).isEqualTo(PRIORITY + 1);
    assertThat(terms.clientOrder()).isNotEqualTo(order);
  }

  /** Guards against an allocation for each segment. */
  @Test
  void termsOfAFlowStayTheSameObjectWithinAPeriod() {
    listFourTargets();
    fixture.send(OPENING);
    fixture.balancer.setOrderPeriod(AdmissionFixture.PERIOD + 1);
    fixture.send(Fleet.data(FLOW, 101, 10));
    ForwardTerms terms = fixture.lastForwarded().terms();
    fixture.balancer.setOrderPeriod(AdmissionFixture.PERIOD + 1);
    fixture.send(Fleet.data(FLOW, 111, 10));
    assertThat(fixture.lastForwarded().terms()).isSameInstanceAs(terms);
  }

  /** Guards against new terms in each period where they do not contain the order. */
  @Test
  void termsOfAFlowStayTheSameObjectWithoutOverloadControl() {
    AdmissionFixture off = new AdmissionFixture(ForwardingPolicy.STANDARD);
    off.updateState(1, PRIORITY, target(A));
    off.send(OPENING);
    ForwardTerms terms = off.lastForwarded().terms();
    off.balancer.setOrderPeriod(AdmissionFixture.PERIOD + 1);
    off.send(Fleet.data(FLOW, 101, 10));
    assertThat(off.lastForwarded().terms()).isSameInstanceAs(terms);
  }

  @Test
  void termsHaveNoSchedulingWithoutOverloadControl() {
    AdmissionFixture off = new AdmissionFixture(ForwardingPolicy.STANDARD);
    off.updateState(1, PRIORITY, target(A));
    off.report(A, 0);
    off.send(OPENING);
    assertThat(off.lastForwarded().terms().scheduling()).isNull();
    assertThat(off.reset).isEmpty();
    assertThat(off.balancer.lowestAdmissionLevel(off.nowMs)).isEqualTo(SchedulingTerms.ADMIT_ALL);
  }

  @Test
  void openingIsTriedAtThreeDifferentTargetsAndThenReset() {
    listFourTargets();
    fixture.send(OPENING);
    Set<Integer> tried = new HashSet<>();
    for (int placement = 0; placement < 3; placement++) {
      assertThat(fixture.reset).isEmpty();
      tried.add(giveBackLast(GiveBackReason.OVERLOADED));
    }
    assertThat(tried).hasSize(3);
    assertThat(fixture.forwarded).hasSize(3);
    assertThat(fixture.reset).containsExactly(FLOW);
    assertThat(fixture.lastDecision()).isEqualTo(RESET);
    assertThat(fixture.balancer.flowCount()).isEqualTo(0);
  }

  @Test
  void openingIsResetWhenAllOfFewTargetsAreOverloaded() {
    fixture.updateState(1, PRIORITY, target(A), target(B));
    fixture.send(OPENING);
    giveBackLast(GiveBackReason.OVERLOADED);
    giveBackLast(GiveBackReason.OVERLOADED);
    assertThat(fixture.reset).containsExactly(FLOW);
    assertThat(fixture.lastDecision()).isEqualTo(RESET);
  }

  @Test
  void openingGivenBackGoesToTheLeastLoadedTarget() {
    listFourTargets();
    fixture.send(OPENING);
    int first = fixture.lastForwarded().address();
    int idle = first == D ? C : D;
    for (int agent : new int[] {A, B, C, D}) {
      int busyFlows = agent == idle ? 0 : 3;
      fixture.balancer.onAgentReport(
          new AgentReport(agent, Fleet.SERVICE, Fleet.ZONE, busyFlows, false, false, false),
          fixture.nowMs);
    }
    giveBackLast(GiveBackReason.OVERLOADED);
    assertThat(fixture.lastForwarded().address()).isEqualTo(idle);
  }

  @Test
  void overloadedTargetIsNotSuspect() {
    fixture.updateState(1, PRIORITY, target(A), target(B));
    fixture.send(OPENING);
    int first = giveBackLast(GiveBackReason.OVERLOADED);
    fixture.forwarded.clear();
    for (int port = 2; port <= 50; port++) {
      fixture.send(Fleet.open(Fleet.flow(port), 0));
    }
    assertThat(fixture.forwardedTo()).contains(first);
  }

  @Test
  void targetThatDoesNotAdmitTheRankIsNoCandidateWhileThereAreOthers() {
    listFourTargets();
    reportAll(RANK - 1, A, B, C);
    reportAll(RANK, D);
    for (int port = 1; port <= 50; port++) {
      fixture.send(Fleet.open(Fleet.flow(port), 0));
    }
    assertThat(fixture.forwarded).hasSize(50);
    assertThat(new HashSet<>(fixture.forwardedTo())).containsExactly(D);
  }

  @Test
  void openingAboveTheLevelIsResetWithoutAMessage() {
    listFourTargets();
    reportAll(RANK - 1, A, B, C, D);
    fixture.send(OPENING);
    assertThat(fixture.forwarded).isEmpty();
    assertThat(fixture.reset).containsExactly(FLOW);
    assertThat(fixture.decisions).containsExactly(RESET);
    assertThat(fixture.balancer.flowCount()).isEqualTo(0);
    assertThat(fixture.balancer.lowestAdmissionLevel(fixture.nowMs)).isEqualTo(RANK - 1);
  }

  @Test
  void openingThatOnlyTheTargetWhichRejectedItAdmitsIsStillTriedElsewhere() {
    fixture.updateState(1, PRIORITY, target(A), target(B));
    reportAll(RANK, A);
    reportAll(RANK - 1, B);
    fixture.send(OPENING);
    giveBackLast(GiveBackReason.OVERLOADED);
    assertThat(fixture.forwardedTo()).containsExactly(A, B).inOrder();
    assertThat(fixture.reset).isEmpty();
  }

  @Test
  void openingIsResetAtOnceWhenTheLevelHasFallenSinceItWasPlaced() {
    listFourTargets();
    fixture.send(OPENING);
    reportAll(RANK - 1, A, B, C, D);
    giveBackLast(GiveBackReason.OVERLOADED);
    assertThat(fixture.forwarded).hasSize(1);
    assertThat(fixture.reset).containsExactly(FLOW);
  }

  @Test
  void copyThatWaitsAtTheSameAgentPreventsTheResetUntilItIsGivenBackToo() {
    fixture.updateState(1, PRIORITY, target(A));
    fixture.report(A, SchedulingTerms.ADMIT_ALL);
    fixture.send(OPENING);
    fixture.nowMs += 200;
    fixture.report(A, RANK - 1);
    fixture.send(COPY);
    assertThat(fixture.forwardedTo()).containsExactly(A, A);
    fixture.giveBack(A, GiveBackReason.OVERLOADED, OPENING);
    assertThat(fixture.reset).isEmpty();
    fixture.giveBack(A, GiveBackReason.OVERLOADED, COPY);
    assertThat(fixture.reset).containsExactly(FLOW);
  }

  @Test
  void copiesGivenBackTogetherAreTriedAtNoMoreThanThreeTargets() {
    listFourTargets();
    reportAll(SchedulingTerms.ADMIT_ALL, A, B, C, D);
    fixture.send(OPENING);
    fixture.nowMs += 200;
    reportAll(SchedulingTerms.ADMIT_ALL, A, B, C, D);
    fixture.send(COPY);
    int first = fixture.lastForwarded().address();
    assertThat(fixture.forwardedTo()).containsExactly(first, first);
    fixture.giveBack(first, GiveBackReason.OVERLOADED, OPENING);
    fixture.giveBack(first, GiveBackReason.OVERLOADED, COPY);
    giveBackLast(GiveBackReason.OVERLOADED);
    assertThat(fixture.reset).isEmpty();
    giveBackLast(GiveBackReason.OVERLOADED);
    assertThat(new HashSet<>(fixture.forwardedTo())).hasSize(3);
    assertThat(fixture.forwarded).hasSize(4);
    assertThat(fixture.reset).containsExactly(FLOW);
  }

  @Test
  void openingIsResetWhenItsFirstCopyIsGivenBackAfterAllOthers() {
    listFourTargets();
    fixture.send(OPENING);
    int first = fixture.lastForwarded().address();
    fixture.nowMs += 200;
    // The first agent has not reported since, so the copy goes to another target.
    fixture.send(COPY);
    giveBackLast(GiveBackReason.OVERLOADED);
    giveBackLast(GiveBackReason.OVERLOADED);
    assertThat(fixture.forwarded).hasSize(3);
    assertThat(fixture.reset).isEmpty();
    fixture.giveBack(first, GiveBackReason.OVERLOADED, OPENING);
    assertThat(fixture.reset).containsExactly(FLOW);
    assertThat(fixture.forwarded).hasSize(3);
  }

  @Test
  void openFlowIsNeitherResetNorMovedWhenACopyOfItsOpeningIsGivenBack() {
    listFourTargets();
    reportAll(SchedulingTerms.ADMIT_ALL, A, B, C, D);
    fixture.send(OPENING);
    int first = fixture.lastForwarded().address();
    fixture.send(Fleet.data(FLOW, 101, 10));
    reportAll(RANK - 1, A, B, C, D);
    fixture.giveBack(first, GiveBackReason.OVERLOADED, OPENING);
    fixture.send(Fleet.data(FLOW, 111, 10));
    assertThat(fixture.reset).isEmpty();
    assertThat(fixture.forwardedTo()).containsExactly(first, first, first);
  }

  /** An earlier copy may have reached a target through another balancer, which then failed. */
  @Test
  void openingWhoseFirstCopyThisBalancerHasNotSeenIsPlacedAndNeverReset() {
    listFourTargets();
    reportAll(RANK - 1, A, B, C, D);
    fixture.send(COPY);
    assertThat(fixture.forwarded).hasSize(1);
    for (int placement = 0; placement < 3; placement++) {
      int agent = fixture.lastForwarded().address();
      fixture.giveBack(agent, GiveBackReason.OVERLOADED, COPY);
    }
    assertThat(new HashSet<>(fixture.forwardedTo())).hasSize(3);
    assertThat(fixture.reset).isEmpty();
  }

  @Test
  void copyOfTheOpeningOfAnOpenFlowThatIsSearchedForIsNotReset() {
    listFourTargets();
    reportAll(RANK - 1, A, B, C, D);
    fixture.send(Fleet.data(FLOW, 101, 10));
    fixture.send(OPENING);
    assertThat(fixture.reset).isEmpty();
  }

  @Test
  void evacuatedServiceKeepsItsReason() {
    fixture.updateState(1, PRIORITY, target(A));
    fixture.report(A, 0);
    fixture.balancer.onState(
        Fleet.evacuated(
            Fleet.state(2, 2, List.of(AdmissionFixture.route(PRIORITY)), List.of(target(A))),
            Fleet.ZONE),
        fixture.nowMs);
    fixture.send(OPENING);
    assertThat(fixture.lastDecision()).isEqualTo("reset-no-target evacuated");
  }

  @Test
  void coldServiceKeepsItsReason() {
    fixture.updateState(1, PRIORITY, target(A));
    fixture.send(OPENING);
    giveBackLast(GiveBackReason.COLD);
    assertThat(fixture.lastDecision()).isEqualTo("reset-no-target cold");
  }

  @Test
  void openingThatTargetsReturnAsFullKeepsItsReasonAndIsTriedAtAll() {
    listFourTargets();
    fixture.send(OPENING);
    for (int placement = 0; placement < 4; placement++) {
      giveBackLast(GiveBackReason.FULL);
    }
    assertThat(new HashSet<>(fixture.forwardedTo())).hasSize(4);
    assertThat(fixture.lastDecision()).isEqualTo("reset-no-target no-target");
  }

  @Test
  void openingWithoutATargetWaits() {
    fixture.updateState(1, PRIORITY);
    fixture.send(OPENING);
    assertThat(fixture.lastDecision()).isEqualTo("held-for-target no-target");
  }

  /**
   * Guards against the reset of an open flow: the copy sent after 200 ms went through another
   * balancer, and its target has accepted it.
   */
  @Test
  void openingIsNotResetIfTheClientsNextCopyMayHaveGoneThroughAnotherBalancer() {
    listFourTargets();
    fixture.send(OPENING);
    fixture.nowMs += 400;
    for (int placement = 0; placement < 3; placement++) {
      giveBackLast(GiveBackReason.OVERLOADED);
    }
    assertThat(fixture.reset).isEmpty();
  }

  /** Guards against the suspicion of a target whose agent has given the opening back. */
  @Test
  void targetThatRejectedAnOpeningWhichCannotBeResetIsNotSuspectAtTheNextCopy() {
    listFourTargets();
    fixture.send(COPY);
    for (int placement = 0; placement < 3; placement++) {
      giveBackLast(GiveBackReason.OVERLOADED);
    }
    int last = fixture.lastForwarded().address();
    fixture.nowMs += 400;
    fixture.send(Fleet.open(FLOW, 2));
    fixture.forwarded.clear();
    for (int port = 2; port <= 50; port++) {
      fixture.send(Fleet.open(Fleet.flow(port), 0));
    }
    assertThat(fixture.forwardedTo()).contains(last);
  }

  /** Guards against a copy that is neither placed nor rejected while a target would accept it. */
  @Test
  void nextCopyOfAnOpeningThatCannotBeResetIsPlacedAgain() {
    listFourTargets();
    fixture.send(COPY);
    for (int placement = 0; placement < 3; placement++) {
      giveBackLast(GiveBackReason.OVERLOADED);
    }
    fixture.nowMs += 400;
    fixture.send(Fleet.open(FLOW, 2));
    assertThat(fixture.forwarded).hasSize(4);
  }

  /** Guards against resets by a report that has outlived two regular intervals. */
  @Test
  void lostReportDoesNotExtendTheValidityOfTheNextOne() {
    listFourTargets();
    for (int report = 0; report < 3; report++) {
      reportAll(RANK, A, B, C, D);
      fixture.nowMs += 500;
    }
    // The report that is due now is lost.
    fixture.nowMs += 500;
    reportAll(RANK - 1, A, B, C, D);
    fixture.nowMs += 1_000;
    fixture.send(OPENING);
    assertThat(fixture.reset).isEmpty();
  }

  /**
   * Guards against the suspicion of a target at whose agent an opening waits: the agent reports
   * every 500 ms, so it need not have reported when the client's next copy arrives.
   */
  @Test
  void targetAtWhoseAgentAnOpeningWaitsIsNotSuspectAtTheNextCopy() {
    listFourTargets();
    for (int report = 0; report < 3; report++) {
      reportAll(RANK, A, B, C, D);
      fixture.nowMs += 500;
    }
    reportAll(RANK, A, B, C, D);
    fixture.nowMs += 100;
    fixture.send(OPENING);
    int first = fixture.lastForwarded().address();
    fixture.nowMs += 200;
    fixture.send(COPY);
    fixture.giveBack(first, GiveBackReason.OVERLOADED, OPENING);
    fixture.forwarded.clear();
    for (int port = 2; port <= 50; port++) {
      fixture.send(Fleet.open(Fleet.flow(port), 0));
    }
    assertThat(fixture.forwardedTo()).contains(first);
  }
}
