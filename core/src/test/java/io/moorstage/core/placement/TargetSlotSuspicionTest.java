package io.moorstage.core.placement;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.state.TargetPhase;
import org.junit.jupiter.api.Test;

/** Tests how long a target is suspect. */
class TargetSlotSuspicionTest {
  // Guards against new flows at a target that is known to be stopping.
  @Test
  void failedOpeningDoesNotShortenALongerSuspicion() {
    TargetSlot slot = new TargetSlot(Fleet.target(1, TargetPhase.READY, 1), 0);
    slot.markSuspect(10_000, 0);
    slot.recordFailedOpening(1_000, 0);
    assertThat(slot.isSuspect(9_999)).isTrue();
    assertThat(slot.isSuspect(10_000)).isFalse();
  }

  @Test
  void suspicionIsLongerAfterEachFailedOpening() {
    TargetSlot slot = new TargetSlot(Fleet.target(1, TargetPhase.READY, 1), 0);
    slot.recordFailedOpening(1_000, 0);
    assertThat(slot.isSuspect(1_000)).isFalse();
    slot.recordFailedOpening(1_000, 0);
    assertThat(slot.isSuspect(1_999)).isTrue();
    assertThat(slot.isSuspect(2_000)).isFalse();
  }
}
