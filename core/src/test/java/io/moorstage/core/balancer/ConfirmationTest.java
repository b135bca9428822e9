package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.state.TargetPhase;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests for how long a balancer may answer openings without a route with a reset. */
class ConfirmationTest {
  private final Fleet.RecordingBalancerActions actions = new Fleet.RecordingBalancerActions();
  private final FlowBalancer balancer =
      new FlowBalancer(Fleet.POLICY, Fleet.ZONE, actions, DecisionLog.NONE, 0);

  // Guards against openings without a route that are dropped instead of reset: of two threads that
  // report a confirmation at a time, the one with the older confirmation may come last.
  @Test
  void olderConfirmationThatArrivesLateDoesNotReplaceANewerOne() {
    balancer.onState(
        Fleet.state(5, 1, List.of(), List.of(Fleet.target(1, TargetPhase.READY, 1))), 0);
    balancer.onConfirmed(5_000);
    balancer.onConfirmed(4_000);
    Segment open = Fleet.open(Fleet.flow(1), 0);
    balancer.onClientSegment(open, Fleet.bytes(open), 4_500);
    assertThat(actions.reset).containsExactly(Fleet.flow(1));
    Segment late = Fleet.open(Fleet.flow(2), 0);
    balancer.onClientSegment(late, Fleet.bytes(late), 5_001);
    assertThat(actions.reset).hasSize(1);
  }
}
