package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.state.TargetPhase;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what an agent reports of its target's service time and flows. */
class CapacityReportTest extends AgentTestBase {
  @BeforeEach
  void reportReadyTarget() {
    reportTarget(TargetPhase.READY, false, 1);
  }

  private void serve(int port, int timeMs) {
    openFlow(port);
    forward(Fleet.data(Fleet.flow(port), 101, 10));
    nowMs += timeMs;
    respond(port);
  }

  @Test
  void serviceTimeIsReportedOnceEnoughAnswersAreKnown() {
    for (int port = 1; port < ServiceTimeEstimator.WINDOW; port++) {
      serve(port, 20);
    }
    agent.onTick(nowMs);
    assertThat(agent.capacityReport().serviceTimeTenthsMs()).isEqualTo(0);
    serve(ServiceTimeEstimator.WINDOW, 20);
    agent.onTick(nowMs);
    assertThat(agent.capacityReport().serviceTimeTenthsMs()).isEqualTo(200);
  }

  // A flow that is counted after its end would keep others from its target.
  @Test
  void heldFlowsAreThoseThatTheTargetHasAnsweredAndNeitherEndHasClosed() {
    openFlow(1);
    assertThat(agent.capacityReport().heldFlows()).isEqualTo(0);
    serve(2, 20);
    serve(3, 20);
    serve(4, 20);
    assertThat(agent.capacityReport().heldFlows()).isEqualTo(3);
    forward(Fleet.close(Fleet.flow(2), 111));
    respond(2);
    assertThat(agent.capacityReport().heldFlows()).isEqualTo(2);
    receiveFromTarget(Fleet.returned(Fleet.data(Fleet.flow(3), 111, 10)));
    assertThat(agent.capacityReport().heldFlows()).isEqualTo(1);
    nowMs += 100_000;
    agent.onSweep(nowMs);
    assertThat(agent.capacityReport().heldFlows()).isEqualTo(0);
  }

  // Otherwise a target that has restarted gets no long flows while those of its predecessor are
  // remembered.
  @Test
  void flowsOfATargetThatHasEndedAreNotCountedForItsSuccessor() {
    serve(1, 20);
    serve(2, 20);
    agent.onTargetCheck(true, nowMs);
    agent.onTargetCheck(true, nowMs);
    assertThat(agent.hasTargetEnded()).isTrue();
    reportTarget(TargetPhase.READY, false, 2);
    assertThat(agent.capacityReport().heldFlows()).isEqualTo(0);
    serve(3, 20);
    assertThat(agent.capacityReport().heldFlows()).isEqualTo(1);
    forward(Fleet.data(Fleet.flow(1), 111, 10));
    receiveFromTarget(Fleet.returned(Fleet.data(Fleet.flow(1), 111, 10)));
    assertThat(agent.capacityReport().heldFlows()).isEqualTo(1);
  }

  @Test
  void restartedAgentCountsTheFlowsThatItSees() {
    respond(1);
    respond(2);
    assertThat(agent.capacityReport().heldFlows()).isEqualTo(2);
  }
}
