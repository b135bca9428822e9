package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.Segment;
import org.junit.jupiter.api.Test;

/** Tests the count of admitted openings whose request is expected. */
class ExpectedRequestsTest {
  // Guards against memory that grows with each flow while the capacity of the target is unknown,
  // since no place is then counted.
  @Test
  void sweepForgetsAcceptedFlowsWhileTheCapacityIsUnknown() {
    AdmissionQueue queue = new AdmissionQueue(unused -> 25, () -> 0);
    for (int port = 1; port <= 100; port++) {
      Segment opening = Fleet.open(Fleet.flow(port), 0);
      AgentFlow flow = AgentFlow.opening(opening, new byte[0], Fleet.BALANCER, 0);
      queue.expected().add(flow);
      queue.expected().onAccepted(flow, 0);
      queue.expected().remove(flow);
    }
    assertThat(queue.hasPlaceAfterOthers(1_000)).isTrue();
    queue.admittedRank(1_000);
    queue.sweep(1_000);
    assertThat(queue.expected().retained()).isEqualTo(0);
  }
}
