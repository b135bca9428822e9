package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.GiveBackReason;
import org.junit.jupiter.api.Test;

/** Tests what an agent infers from the segments of flows that its predecessor has opened. */
class RestartedAgentTest extends AgentTestBase {
  private static final int PORT = 1;

  // Guards against the reset of a flow that is open at another target. A target that accepts an
  // opening does not hold the flow yet: the client may have continued at a target that accepted
  // another copy of the opening.
  @Test
  void flowWhoseAcceptanceIsAllThatTheAgentHasSeenIsGivenBackAndNotReset() {
    receiveFromTarget(Fleet.accepted(Fleet.flow(PORT)));
    Segment data = Fleet.data(Fleet.flow(PORT), 101, 10);
    forward(data);
    receiveFromTarget(Fleet.returned(data));

    assertThat(actions.reset).isEmpty();
    assertThat(actions.givenBack).containsExactly(GiveBackReason.NOT_HELD);
  }

  // A later segment of the target shows that it held the flow, so no other target can serve it.
  @Test
  void flowOfWhichTheAgentHasSeenDataOfTheTargetIsResetOnceTheTargetReturnsIt() {
    receiveFromTarget(Fleet.data(Fleet.flow(PORT), 2, 10));
    Segment data = Fleet.data(Fleet.flow(PORT), 101, 10);
    forward(data);
    receiveFromTarget(Fleet.returned(data));

    assertThat(actions.reset).containsExactly(Fleet.flow(PORT));
    assertThat(actions.givenBack).isEmpty();
  }

  @Test
  void acceptedFlowIsNotCountedAsHeldBeforeTheTargetHasSentData() {
    receiveFromTarget(Fleet.accepted(Fleet.flow(PORT)));
    assertThat(agent.capacityReport().heldFlows()).isEqualTo(0);
    receiveFromTarget(Fleet.data(Fleet.flow(PORT), 2, 10));
    assertThat(agent.capacityReport().heldFlows()).isEqualTo(1);
  }
}
