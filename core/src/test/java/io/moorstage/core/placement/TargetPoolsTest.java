package io.moorstage.core.placement;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import org.junit.jupiter.api.Test;

class TargetPoolsTest {
  private static FleetState stateWith(long startedAtMs, long revision) {
    return Fleet.state(
        revision,
        new TargetRecord(
            "t",
            startedAtMs,
            Fleet.SERVICE,
            1,
            Fleet.ZONE,
            2,
            TargetPhase.READY,
            false,
            0,
            1,
            false,
            revision));
  }

  private static TargetSlot slotOf(TargetPools pools) {
    return pools.ofService(Fleet.SERVICE).at(1);
  }

  @Test
  void targetKeepsItsSlotUntilItRestarts() {
    TargetPools initial = TargetPools.empty(Fleet.POLICY, Fleet.ZONE).update(stateWith(7, 1), 0);
    TargetPools updated = initial.update(stateWith(7, 2), 0);
    assertThat(slotOf(updated)).isSameInstanceAs(slotOf(initial));
  }

  // A new start must not be suspect or ejected for failures of the previous one.
  @Test
  void targetThatRestartsUnderTheSameIdGetsANewSlot() {
    TargetPools initial = TargetPools.empty(Fleet.POLICY, Fleet.ZONE).update(stateWith(7, 1), 0);
    TargetPools updated = initial.update(stateWith(8, 2), 0);
    assertThat(slotOf(updated)).isNotSameInstanceAs(slotOf(initial));
  }
}
