package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.state.FleetState;
import org.junit.jupiter.api.Test;

/** Tests what becomes of an opening that waits at a balancer for a target. */
class WaitingOpeningsTest {
  private static final int A = 0x0A010010;

  private final Fleet.RecordingBalancerActions actions = new Fleet.RecordingBalancerActions();
  private final FlowBalancer balancer =
      new FlowBalancer(Fleet.POLICY, Fleet.ZONE, actions, DecisionLog.NONE, 0);
  private long nowMs = 500;

  private void updateState(FleetState state) {
    balancer.onState(state, nowMs);
  }

  private void reportAgent() {
    balancer.onAgentReport(Fleet.agent(A), nowMs);
  }

  private void sendClientSegment(Segment segment) {
    balancer.onClientSegment(segment, Fleet.bytes(segment), nowMs);
  }

  private void leaveOpeningWaitingForAColdUnlistedTarget(int port) {
    updateState(Fleet.state(5));
    reportAgent();
    Segment first = Fleet.open(Fleet.flow(port + 1), 0);
    sendClientSegment(first);
    balancer.onGivenBack(A, GiveBackReason.COLD, 1, first, Fleet.bytes(first), nowMs);
    actions.reset.clear();
    sendClientSegment(Fleet.open(Fleet.flow(port), 0));
    assertThat(actions.forwardedTo).containsExactly(A);
    assertThat(actions.reset).isEmpty();
  }

  private void expireWaitingOpenings() {
    nowMs += Fleet.POLICY.opening().targetWaitMs();
    balancer.onTick(nowMs);
  }

  // Guards against the reset of an open flow: its first opening still waited for a target when the
  // retransmission had been placed, and was answered with a reset after its wait.
  @Test
  void flowWhoseRetransmittedOpeningWasPlacedIsNotResetWhenTheWaitOfTheFirstOneExpires() {
    leaveOpeningWaitingForAColdUnlistedTarget(1);
    nowMs += 201;
    sendClientSegment(Fleet.open(Fleet.flow(1), 1));
    sendClientSegment(Fleet.data(Fleet.flow(1), 101, 10));
    assertThat(actions.forwardedTo).containsExactly(A, A, A);
    expireWaitingOpenings();
    assertThat(actions.reset).isEmpty();
  }

  // Guards against the reset of an open flow that was opened through another balancer.
  @Test
  void flowThatWasFoundAtATargetIsNotResetWhenTheWaitOfItsOpeningExpires() {
    leaveOpeningWaitingForAColdUnlistedTarget(1);
    sendClientSegment(Fleet.data(Fleet.flow(1), 101, 10));
    balancer.onQueryResult(A, Fleet.flow(1), FlowQueryResult.HELD, A, nowMs);
    assertThat(actions.lastForwardedTo()).isEqualTo(A);
    expireWaitingOpenings();
    assertThat(actions.reset).isEmpty();
  }

  @Test
  void flowThatNoTargetCameForIsResetWhenItsWaitExpires() {
    updateState(Fleet.state(5));
    sendClientSegment(Fleet.open(Fleet.flow(1), 0));
    expireWaitingOpenings();
    assertThat(actions.reset).containsExactly(Fleet.flow(1));
  }
}
