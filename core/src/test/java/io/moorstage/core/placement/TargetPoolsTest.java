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
            revision));
  }

  private static TargetSlot slotOf(TargetPools pools) {
    return pools.ofService(Fleet.SERVICE).at(1);
  }

  @Test
  void targetKeepsItsSlotWhileItIsOneStart() {
    TargetPools first = TargetPools.empty(Fleet.POLICY, Fleet.ZONE).update(stateWith(7, 1), 0);
    TargetPools next = first.update(stateWith(7, 2), 0);
    assertThat(slotOf(next)).isSameInstanceAs(slotOf(first));
  }

  @Test
  void targetThatHasStartedAgainUnderItsIdIsNotAvoidedForWhatTheStartBeforeDid() {
    TargetPools first = TargetPools.empty(Fleet.POLICY, Fleet.ZONE).update(stateWith(7, 1), 0);
    TargetPools next = first.update(stateWith(8, 2), 0);
    assertThat(slotOf(next)).isNotSameInstanceAs(slotOf(first));
  }
}
