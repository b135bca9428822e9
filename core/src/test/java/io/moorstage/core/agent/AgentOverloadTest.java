package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.Decision;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.settings.OverloadSettings;
import io.moorstage.core.state.TargetPhase;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests an agent with overload control: admission, waiting openings and failures while they wait.
 */
class AgentOverloadTest {
  private static final int TIMEOUT_MS = 2_000;

  private final Fleet.RecordingAgentActions actions = new Fleet.RecordingAgentActions();
  private final List<Decision> decisions = new ArrayList<>();
  private FlowAgent agent = agent(Fleet.POLICY);
  private long nowMs = 1_000;
  private long revision = 1;
  private int coldOpeningsPerS;
  private boolean overridesEjection;

  private FlowAgent agent(ForwardingPolicy policy) {
    return new FlowAgent(
        policy.with(OverloadSettings.STANDARD),
        Fleet.SERVICE,
        actions,
        (decision, flow, address, reason, ageMs) -> decisions.add(decision),
        0);
  }

  private void report(int capacity, TargetPhase phase, boolean evacuated) {
    TargetReport report =
        new TargetReport(revision++, phase, evacuated, capacity, 5, false, 0, 2_000);
    agent.onTargetReport(report, nowMs);
  }

  private void forward(Segment segment, int priority) {
    ForwardTerms terms =
        new ForwardTerms(
            Fleet.SERVICE,
            1,
            TIMEOUT_MS,
            coldOpeningsPerS,
            true,
            overridesEjection,
            new SchedulingTerms(400, priority, 5, 1));
    agent.onForwarded(Fleet.BALANCER, terms, segment, Fleet.bytes(segment), nowMs);
  }

  private void open(int port) {
    forward(Fleet.open(Fleet.flow(port), 0), 2);
  }

  private void receiveFromTarget(Segment segment) {
    agent.onTargetSegment(segment, Fleet.bytes(segment), nowMs);
  }

  /** Lets the target accept a flow and sends the flow's request. */
  private void begin(int port) {
    FlowId flow = Fleet.flow(port);
    receiveFromTarget(Fleet.accepted(flow));
    forward(Fleet.data(flow, 101, 10), 2);
  }

  private void respond(int port) {
    receiveFromTarget(Fleet.data(Fleet.flow(port), 2, 100));
  }

  private boolean wasDelivered(Segment segment) {
    return actions.delivered.contains(segment.toString());
  }

  private boolean wasOpened(int port) {
    return wasDelivered(Fleet.open(Fleet.flow(port), 0));
  }

  /** Fills the two places of a target of capacity 1, and lets a third opening wait. */
  private void fillAndQueue() {
    report(1, TargetPhase.READY, false);
    open(1);
    open(2);
    open(3);
    assertThat(agent.waitingOpenings()).isEqualTo(1);
    assertThat(actions.givenBack).isEmpty();
  }

  // Guards against more openings at the target than it works on, and against an idle target.
  @Test
  void openingWaitsWhileTheTargetIsAtItsLimitAndIsDeliveredAfterAResponse() {
    fillAndQueue();
    assertThat(wasOpened(2)).isTrue();
    assertThat(wasOpened(3)).isFalse();
    assertThat(agent.busyFlows()).isEqualTo(1);
    assertThat(decisions).contains(Decision.QUEUED);
    begin(1);
    assertThat(wasOpened(3)).isFalse();
    respond(1);
    assertThat(wasOpened(3)).isTrue();
    assertThat(agent.waitingOpenings()).isEqualTo(0);
  }

  // Guards against places that are held for clients that have given up.
  @Test
  void openingWhoseRequestDoesNotArriveReleasesItsPlace() {
    fillAndQueue();
    receiveFromTarget(Fleet.accepted(Fleet.flow(1)));
    nowMs += 49;
    agent.onTick(nowMs);
    assertThat(wasOpened(3)).isFalse();
    nowMs += 1;
    agent.onTick(nowMs);
    assertThat(wasOpened(3)).isTrue();

    begin(2);
    Segment late = Fleet.data(Fleet.flow(1), 101, 10);
    forward(late, 2);
    assertThat(wasDelivered(late)).isFalse();
    assertThat(agent.waitingRequests()).isEqualTo(1);
    respond(2);
    assertThat(wasDelivered(late)).isTrue();
  }

  // Guards against the loss of a client's data on an open flow.
  @Test
  void requestOnAnOpenFlowThatWaitsIsDelivered() {
    report(1, TargetPhase.READY, false);
    open(1);
    begin(1);
    respond(1);
    open(2);
    open(3);
    begin(2);
    begin(3);
    open(4);
    Segment request = Fleet.data(Fleet.flow(1), 111, 10);
    forward(request, 1);
    assertThat(agent.waitingRequests()).isEqualTo(1);
    nowMs += 10_000;
    respond(2);
    assertThat(wasDelivered(request)).isTrue();
    assertThat(actions.reset).isEmpty();
  }

  // Guards against a balancer that waits for ever for an opening that it counts as still out.
  @Test
  void copiesOfAWaitingOpeningAreGivenBackWithIt() {
    fillAndQueue();
    nowMs += 200;
    forward(Fleet.open(Fleet.flow(3), 1), 2);
    assertThat(wasDelivered(Fleet.open(Fleet.flow(3), 1))).isFalse();
    nowMs += 1_100;
    agent.onTick(nowMs);
    assertThat(actions.givenBack).contains(GiveBackReason.OVERLOADED);
    assertThat(actions.givenBack.stream().filter(r -> r == GiveBackReason.OVERLOADED).count())
        .isEqualTo(2);
    assertThat(wasOpened(3)).isFalse();
  }

  // Guards against the loss of what waits when the agent was not scheduled for seconds.
  @Test
  void openingIsGivenBackAfterAJumpOfTheClock() {
    fillAndQueue();
    begin(1);
    begin(2);
    nowMs += 30_000;
    respond(1);
    assertThat(wasOpened(3)).isFalse();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.OVERLOADED);
    assertThat(agent.waitingOpenings()).isEqualTo(0);
  }

  // Guards against a delivery to a target although the client has opened the flow at another one.
  @Test
  void openingIsDiscardedWhenItsClientContinuesElsewhere() {
    fillAndQueue();
    forward(Fleet.close(Fleet.flow(3), 101), 2);
    begin(1);
    respond(1);
    assertThat(agent.waitingOpenings()).isEqualTo(0);
    assertThat(wasOpened(3)).isFalse();
    assertThat(actions.givenBack).isEmpty();
  }

  // Guards against a sweep that removes what waits.
  @Test
  void openingAndRequestThatWaitRemainAfterASweep() {
    report(1, TargetPhase.READY, false);
    open(5);
    begin(5);
    respond(5);
    fillAndQueue();
    begin(1);
    begin(2);
    Segment request = Fleet.data(Fleet.flow(5), 111, 10);
    forward(request, 1);
    nowMs += 300;
    agent.onSweep(nowMs);
    assertThat(agent.waitingOpenings()).isEqualTo(1);
    assertThat(agent.waitingRequests()).isEqualTo(1);
    assertThat(actions.givenBack).isEmpty();
    respond(1);
    assertThat(wasDelivered(request)).isTrue();
    respond(2);
    assertThat(wasOpened(3)).isTrue();
  }

  @Test
  void openingsAreGivenBackAtOnceWhenTheTargetDrains() {
    fillAndQueue();
    report(1, TargetPhase.DRAINING, false);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.LEAVING);
    assertThat(agent.waitingOpenings()).isEqualTo(0);
  }

  @Test
  void openingsAreGivenBackAtOnceWhenTheZoneIsEvacuated() {
    fillAndQueue();
    report(1, TargetPhase.READY, true);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.EVACUATED);
    assertThat(agent.waitingOpenings()).isEqualTo(0);
  }

  @Test
  void openingsAreGivenBackWhenTheTargetHasEnded() {
    fillAndQueue();
    agent.onTargetCheck(true, nowMs);
    agent.onTargetCheck(true, nowMs);
    assertThat(agent.hasTargetEnded()).isTrue();
    assertThat(actions.givenBack)
        .containsExactly(GiveBackReason.ENDED, GiveBackReason.ENDED, GiveBackReason.ENDED);
    assertThat(wasOpened(3)).isFalse();
  }

  private void stall() {
    begin(1);
    begin(2);
    nowMs += 450;
    agent.onTick(nowMs);
  }

  // Guards against an opening that waits for a stalled target until its client gives up.
  @Test
  void openingIsGivenBackAsUnfitWhenTheTargetStalls() {
    fillAndQueue();
    stall();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.UNFIT);
    assertThat(agent.waitingOpenings()).isEqualTo(0);
  }

  // Guards against an opening that waits for a target which was ejected because it broke off
  // requests, while requests on open flows take the places that become free.
  @Test
  void openingIsGivenBackAsUnfitWhenTheTargetBreaksOffRequests() {
    report(1, TargetPhase.READY, false);
    for (int port = 5; port <= 7; port++) {
      open(port);
      begin(port);
      respond(port);
    }
    fillAndQueue();
    begin(1);
    begin(2);
    for (int port = 5; port <= 7; port++) {
      forward(Fleet.data(Fleet.flow(port), 111, 10), 1);
    }
    receiveFromTarget(Fleet.close(Fleet.flow(1), 2));
    receiveFromTarget(Fleet.close(Fleet.flow(2), 2));
    assertThat(actions.givenBack).isEmpty();
    receiveFromTarget(Fleet.close(Fleet.flow(5), 102));
    assertThat(agent.isTargetEjected()).isTrue();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.UNFIT);
    assertThat(agent.waitingOpenings()).isEqualTo(0);
  }

  // Guards against the loss of openings when most targets are ejected: their balancers override
  // the ejection, and no other target would take them.
  @Test
  void openingThatOverridesTheEjectionStaysQueued() {
    overridesEjection = true;
    fillAndQueue();
    stall();
    assertThat(decisions).contains(Decision.TARGET_UNFIT);
    assertThat(actions.givenBack).isEmpty();
    respond(1);
    assertThat(wasOpened(3)).isTrue();
  }

  // Guards against openings that are given back for an ejection by an agent that rejects none.
  @Test
  void openingStaysQueuedIfEjectionsRejectNone() {
    agent = agent(Fleet.POLICY.without(Set.of(Mechanism.OUTLIER_REFUSAL)));
    fillAndQueue();
    stall();
    assertThat(decisions).contains(Decision.TARGET_UNFIT);
    assertThat(actions.givenBack).isEmpty();
    respond(1);
    assertThat(wasOpened(3)).isTrue();
  }

  // Guards against balancers that send openings to a target that has no place for its probe: each
  // would be given back.
  @Test
  void ejectionIsReportedUntilThereIsAPlaceForTheProbe() {
    report(1, TargetPhase.READY, false);
    open(1);
    open(2);
    begin(1);
    begin(2);
    nowMs += 500;
    agent.onTick(nowMs);
    assertThat(agent.isTargetEjected()).isTrue();
    nowMs += 1_000;
    agent.onTick(nowMs);
    assertThat(agent.isTargetEjected()).isFalse();
    forward(Fleet.data(Fleet.flow(1), 111, 10), 2);
    forward(Fleet.data(Fleet.flow(2), 111, 10), 2);
    open(3);
    assertThat(actions.givenBack).containsExactly(GiveBackReason.UNFIT);
    assertThat(agent.isTargetEjected()).isTrue();
    receiveFromTarget(Fleet.close(Fleet.flow(1), 2));
    assertThat(agent.isTargetEjected()).isFalse();
    open(4);
    assertThat(wasOpened(4)).isTrue();
  }

  // Guards against openings that wait for a capacity that the source does not tell.
  @Test
  void unknownCapacityAdmitsAllAndReleasesWhatWaits() {
    for (int port = 1; port <= 5; port++) {
      open(port);
    }
    assertThat(actions.delivered).hasSize(5);
    report(1, TargetPhase.READY, false);
    open(21);
    assertThat(wasOpened(21)).isFalse();
    report(0, TargetPhase.READY, false);
    assertThat(wasOpened(21)).isTrue();
  }

  @Test
  void increaseOfTheCapacityReleasesWhatWaits() {
    fillAndQueue();
    report(2, TargetPhase.READY, false);
    assertThat(wasOpened(3)).isTrue();
  }

  // Guards against an opening that uses up the limit of a cold target twice, or not at all.
  @Test
  void openingCountsForTheLimitOfAColdTargetWhenItIsDelivered() {
    coldOpeningsPerS = 3;
    fillAndQueue();
    begin(1);
    open(4);
    assertThat(agent.waitingOpenings()).isEqualTo(2);
    respond(1);
    assertThat(wasOpened(3)).isTrue();
    begin(2);
    respond(2);
    assertThat(wasOpened(4)).isFalse();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.COLD);
  }

  // Guards against balancers that send openings to an agent that gives them back.
  @Test
  void reportsTheRankThatItAdmits() {
    fillAndQueue();
    assertThat(agent.capacityReport().admittedRank()).isEqualTo(SchedulingTerms.ADMIT_ALL);
    for (int port = 4; port < 30; port++) {
      open(port);
    }
    assertThat(actions.givenBack).contains(GiveBackReason.OVERLOADED);
    int rank = agent.capacityReport().admittedRank();
    assertThat(rank).isEqualTo(new SchedulingTerms(0, 2, 4, 0).rank());
  }

  private void forwardWithoutScheduling(Segment segment) {
    ForwardTerms terms =
        new ForwardTerms(Fleet.SERVICE, 1, TIMEOUT_MS, coldOpeningsPerS, true, false, null);
    agent.onForwarded(Fleet.BALANCER, terms, segment, Fleet.bytes(segment), nowMs);
  }

  // Guards against an opening that is given back although a copy of it, from a balancer without
  // overload control, was delivered: two targets could accept it.
  @Test
  void copyWithoutSchedulingTermsIsNotDeliveredWhileItsOpeningWaits() {
    fillAndQueue();
    nowMs += 200;
    Segment copy = Fleet.open(Fleet.flow(3), 1);
    forwardWithoutScheduling(copy);
    boolean delivered = wasDelivered(copy);
    nowMs += 1_100;
    agent.onTick(nowMs);
    boolean givenBack = actions.givenBack.contains(GiveBackReason.OVERLOADED);
    assertThat(delivered && givenBack).isFalse();
    assertThat(agent.waitingOpenings()).isEqualTo(0);
  }

  // Guards against an opening that is given back although the target, to which the agent delivered
  // it before it was restarted, has accepted it.
  @Test
  void waitingOpeningIsDiscardedWhenTheTargetSendsASegmentOfItsFlow() {
    fillAndQueue();
    receiveFromTarget(Fleet.accepted(Fleet.flow(3)));
    nowMs += 1_300;
    agent.onTick(nowMs);
    assertThat(actions.givenBack).doesNotContain(GiveBackReason.OVERLOADED);
  }

  // Guards against a less urgent opening that is delivered before a request because it came first.
  @Test
  void moreUrgentRequestOnAnOpenFlowGoesBeforeAWaitingOpening() {
    report(1, TargetPhase.READY, false);
    open(1);
    begin(1);
    respond(1);
    open(2);
    open(3);
    begin(2);
    begin(3);
    open(4);
    Segment request = Fleet.data(Fleet.flow(1), 111, 10);
    forward(request, 1);
    assertThat(wasDelivered(request)).isFalse();
    respond(2);
    assertThat(wasDelivered(request)).isTrue();
    assertThat(wasOpened(4)).isFalse();
    assertThat(agent.waitingOpenings()).isEqualTo(1);
  }
}
