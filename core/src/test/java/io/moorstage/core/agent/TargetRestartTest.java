package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.state.TargetPhase;
import org.junit.jupiter.api.Test;

/**
 * Tests that a restarted target does not inherit the ejection or the draining phase from before its
 * restart.
 */
class TargetRestartTest extends AgentTestBase {
  private static final long FIRST_START = 5;
  private static final long SECOND_START = 6;

  private void report(long revision, TargetPhase phase, long startNumber) {
    agent.onTargetReport(
        new TargetReport(revision, phase, false, CAPACITY, startNumber, false, 0, 0), nowMs);
  }

  private void breakOff(int port) {
    openFlow(port);
    forward(Fleet.data(Fleet.flow(port), 101, 10));
    receiveFromTarget(new Segment(Fleet.flow(port), Segment.Kind.RESET, 0, false, 2, 0, 0));
  }

  @Test
  void restartedTargetIsNotEjectedForFailuresBeforeTheRestart() {
    report(9, TargetPhase.READY, FIRST_START);
    breakOff(1);
    breakOff(2);
    breakOff(3);
    assertThat(agent.isTargetEjected()).isTrue();
    report(10, TargetPhase.READY, FIRST_START);
    assertThat(agent.isTargetEjected()).isTrue();

    report(11, TargetPhase.READY, SECOND_START);
    assertThat(agent.isTargetEjected()).isFalse();
    forward(Fleet.open(Fleet.flow(4), 0));
    assertThat(actions.givenBack).isEmpty();
  }

  @Test
  void restartedTargetGetsNewFlowsThoughItDrainedBeforeTheRestart() {
    report(9, TargetPhase.DRAINING, FIRST_START);
    report(10, TargetPhase.READY, SECOND_START);
    forward(Fleet.open(Fleet.flow(1), 0));
    assertThat(actions.givenBack).isEmpty();
  }
}
