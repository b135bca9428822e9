package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the admission of openings while reports, a zone, a clock or the configuration fail. */
class AdmissionFailuresTest {
  private static final int A = 0x0A010010;
  private static final int B = 0x0A010011;
  private static final int C = 0x0A010012;
  private static final String OTHER_ZONE = "other";
  private static final int PRIORITY = 2;
  private static final int REPORT_VALID_MS = 750;
  private static final FlowId FLOW = Fleet.flow(1);
  private static final Segment OPENING = Fleet.open(FLOW, 0);
  private static final int RANK = AdmissionFixture.rank(PRIORITY, FLOW.clientAddress());

  private final AdmissionFixture fixture = new AdmissionFixture();

  private static TargetRecord target(int address) {
    return Fleet.target(address, TargetPhase.READY, 1);
  }

  private void reportAll(int admittedRank, int... agents) {
    for (int agent : agents) {
      fixture.report(agent, admittedRank);
    }
  }

  @Test
  void openingsAreAdmittedAgainWhenTheReportsStop() {
    fixture.updateState(1, PRIORITY, target(A), target(B));
    reportAll(RANK - 1, A, B);
    fixture.nowMs += REPORT_VALID_MS;
    fixture.send(OPENING);
    assertThat(fixture.reset).containsExactly(FLOW);
    fixture.nowMs++;
    fixture.send(Fleet.open(Fleet.flow(2), 0));
    assertThat(fixture.reset).hasSize(1);
    assertThat(fixture.forwarded).hasSize(1);
    assertThat(fixture.balancer.lowestAdmissionLevel(fixture.nowMs))
        .isEqualTo(SchedulingTerms.ADMIT_ALL);
  }

  /** Guards against reports that expire before the next one from the agents of a large fleet. */
  @Test
  void reportIsValidForOneAndAHalfTimesTheRequestedInterval() {
    fixture.balancer.setReportInterval(1_200);
    fixture.updateState(1, PRIORITY, target(A), target(B));
    reportAll(RANK - 1, A, B);
    fixture.nowMs += 1_800;
    fixture.send(OPENING);
    assertThat(fixture.reset).containsExactly(FLOW);
    fixture.nowMs++;
    fixture.send(Fleet.open(Fleet.flow(2), 0));
    assertThat(fixture.forwarded).hasSize(1);
  }

  /** Guards against a balancer of few agents that lets reports of an unchanged load expire. */
  @Test
  void reportIsValidForAtLeastThePeriodOfAnUnchangedLoad() {
    fixture.balancer.setReportInterval(20);
    fixture.updateState(1, PRIORITY, target(A), target(B));
    reportAll(RANK - 1, A, B);
    fixture.nowMs += REPORT_VALID_MS;
    fixture.send(OPENING);
    assertThat(fixture.reset).containsExactly(FLOW);
    fixture.nowMs++;
    fixture.send(Fleet.open(Fleet.flow(2), 0));
    assertThat(fixture.forwarded).hasSize(1);
  }

  @Test
  void openingsGoToAZoneWhoseReportsHaveExpiredUntilItsTargetsAreSuspect() {
    fixture.updateState(1, PRIORITY, Fleet.targetIn(Fleet.ZONE, A), Fleet.targetIn(OTHER_ZONE, B));
    fixture.report(A, RANK - 1);
    fixture.report(B, OTHER_ZONE, RANK - 1);
    fixture.nowMs += REPORT_VALID_MS + 1;
    fixture.report(A, RANK - 1);
    fixture.send(OPENING);
    assertThat(fixture.forwardedTo()).containsExactly(B);

    fixture.nowMs += 200;
    fixture.report(A, RANK - 1);
    fixture.send(Fleet.open(FLOW, 1));
    assertThat(fixture.forwardedTo()).containsExactly(B, A).inOrder();
    fixture.giveBack(A, GiveBackReason.OVERLOADED, Fleet.open(FLOW, 1));
    // The target in the unreachable zone may still have accepted the first copy.
    assertThat(fixture.reset).isEmpty();

    fixture.send(Fleet.open(Fleet.flow(2), 0));
    assertThat(fixture.reset).containsExactly(Fleet.flow(2));
    assertThat(fixture.forwarded).hasSize(2);
  }

  @Test
  void balancerWhoseClockIsOffByAPeriodAdmitsTheSameShareOfClients() {
    AdmissionFixture off = new AdmissionFixture();
    off.balancer.setOrderPeriod(AdmissionFixture.PERIOD + 1);
    int admittedRank = PRIORITY << 8 | 186;
    for (AdmissionFixture each : new AdmissionFixture[] {fixture, off}) {
      each.updateState(1, PRIORITY, target(A), target(B));
      each.report(A, admittedRank);
      each.report(B, admittedRank);
    }
    int clients = 4_000;
    for (int client = 0; client < clients; client++) {
      FlowId flow = new FlowId(0x64400001 + client, 1, Fleet.SERVICE_ADDRESS, Fleet.PORT);
      fixture.send(Fleet.open(flow, 0));
      off.send(Fleet.open(flow, 0));
    }
    assertThat((double) fixture.forwarded.size() / clients).isWithin(0.02).of(0.73);
    assertThat((double) off.forwarded.size() / clients).isWithin(0.02).of(0.73);
    // The retries at the same balancer are rejected all the same.
    Set<FlowId> rejected = new HashSet<>(off.reset);
    int forwardedBefore = off.forwarded.size();
    for (FlowId flow : rejected) {
      off.send(
          Fleet.open(new FlowId(flow.clientAddress(), 2, Fleet.SERVICE_ADDRESS, Fleet.PORT), 0));
    }
    assertThat(off.forwarded).hasSize(forwardedBefore);
  }

  @Test
  void clockThatJumpsBackDoesNotChangeTheOrderOfOpeningsThatArePlaced() {
    fixture.updateState(1, PRIORITY, target(A));
    fixture.send(OPENING);
    int rank = fixture.lastForwarded().rank();
    fixture.balancer.setOrderPeriod(-1);
    fixture.send(Fleet.open(FLOW, 1));
    assertThat(fixture.lastForwarded().rank()).isEqualTo(rank);
    // An accepted flow has the order of the period that the balancer takes to be the current one.
    fixture.send(Fleet.data(FLOW, 101, 10));
    assertThat(fixture.lastForwarded().terms().scheduling().clientOrder())
        .isEqualTo(ClientOrder.of(FLOW.clientAddress(), -1));
    fixture.send(Fleet.open(Fleet.flow(2), 0));
    assertThat(fixture.lastForwarded().terms().scheduling().clientOrder())
        .isEqualTo(ClientOrder.of(FLOW.clientAddress(), -1));
  }

  /** Guards against a reset as overloaded of an opening that a target would admit. */
  @Test
  void openingKeepsItsPriorityAndObjectiveIfItsRouteIsRemovedWhileItWaits() {
    fixture.updateState(1, PRIORITY, target(A), target(B), target(C));
    reportAll(RANK, A, B, C);
    fixture.send(OPENING);
    SchedulingTerms terms = fixture.lastForwarded().terms().scheduling();
    int first = fixture.lastForwarded().address();
    fixture.balancer.onState(
        Fleet.state(2, 2, List.of(), List.of(target(A), target(B), target(C))), fixture.nowMs);
    fixture.giveBack(first, GiveBackReason.OVERLOADED, OPENING);
    assertThat(fixture.reset).isEmpty();
    assertThat(fixture.forwarded).hasSize(2);
    assertThat(fixture.lastForwarded().terms().scheduling()).isEqualTo(terms);
  }

  @Test
  void priorityThatTheConfigurationLowersAppliesToAnOpeningThatIsPlacedAgain() {
    fixture.updateState(1, PRIORITY, target(A), target(B), target(C));
    reportAll(RANK, A, B, C);
    fixture.send(OPENING);
    int first = fixture.lastForwarded().address();
    fixture.updateState(2, PRIORITY + 1, target(A), target(B), target(C));
    fixture.giveBack(first, GiveBackReason.OVERLOADED, OPENING);
    // No target admits the new rank.
    assertThat(fixture.forwarded).hasSize(1);
    assertThat(fixture.reset).containsExactly(FLOW);
  }

  @Test
  void priorityThatTheConfigurationRaisesAppliesToAnOpeningThatIsPlacedAgain() {
    fixture.updateState(1, PRIORITY, target(A), target(B), target(C));
    reportAll(RANK, A, B, C);
    fixture.send(OPENING);
    int first = fixture.lastForwarded().address();
    fixture.updateState(2, PRIORITY - 1, target(A), target(B), target(C));
    reportAll(RANK - 1, A, B, C);
    fixture.giveBack(first, GiveBackReason.OVERLOADED, OPENING);
    assertThat(fixture.reset).isEmpty();
    assertThat(fixture.forwarded).hasSize(2);
    assertThat(fixture.lastForwarded().rank()).isEqualTo(RANK - 256);
  }

  @Test
  void targetThatRestartsAdmitsUntilItsAgentReports() {
    fixture.updateState(1, PRIORITY, target(A));
    fixture.report(A, RANK - 1);
    fixture.send(OPENING);
    assertThat(fixture.reset).containsExactly(FLOW);
    fixture.updateState(2, PRIORITY, Fleet.listed("restarted", Fleet.SERVICE, A, 2));
    fixture.send(Fleet.open(Fleet.flow(2), 0));
    assertThat(fixture.forwardedTo()).containsExactly(A);
  }
}
