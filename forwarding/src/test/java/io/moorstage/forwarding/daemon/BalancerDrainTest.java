package io.moorstage.forwarding.daemon;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a stopping balancer that ends while routers still send it segments, which would be
 * lost, and against one that never ends because clients keep sending.
 */
class BalancerDrainTest {
  private static final long START_MS = 100_000;

  private final BalancerDrain drain = new BalancerDrain();

  @Test
  void balancerRunsOnUntilAStopIsRequested() {
    drain.onClientSegment(START_MS);
    assertThat(drain.isStopping()).isFalse();
    assertThat(drain.isDone(START_MS + 10L * BalancerDrain.MAX_MS)).isFalse();
  }

  @Test
  void idleBalancerEndsAfterTheMinimumDrainTime() {
    drain.begin(START_MS);
    assertThat(drain.isDone(START_MS + BalancerDrain.MIN_MS)).isFalse();
    assertThat(drain.isDone(START_MS + BalancerDrain.MIN_MS + 1)).isTrue();
  }

  @Test
  void balancerWithClientTrafficEndsAfterTheClientIdleTime() {
    drain.begin(START_MS);
    long lastSegmentMs = START_MS + BalancerDrain.MIN_MS + 1;
    drain.onClientSegment(lastSegmentMs);
    assertThat(drain.isDone(lastSegmentMs + BalancerDrain.CLIENT_IDLE_MS)).isFalse();
    assertThat(drain.isDone(lastSegmentMs + BalancerDrain.CLIENT_IDLE_MS + 1)).isTrue();
  }

  @Test
  void balancerWithContinuousTrafficEndsAfterTheMaximumDrainTime() {
    drain.begin(START_MS);
    long maximumDrainEndMs = START_MS + BalancerDrain.MAX_MS;
    drain.onClientSegment(maximumDrainEndMs);
    assertThat(drain.isDone(maximumDrainEndMs)).isFalse();
    assertThat(drain.isDone(maximumDrainEndMs + 1)).isTrue();
  }

  @Test
  void secondStopDoesNotRestartTheDrain() {
    assertThat(drain.begin(START_MS)).isTrue();
    assertThat(drain.begin(START_MS + BalancerDrain.MIN_MS)).isFalse();
    assertThat(drain.isDone(START_MS + BalancerDrain.MIN_MS + 1)).isTrue();
  }
}
