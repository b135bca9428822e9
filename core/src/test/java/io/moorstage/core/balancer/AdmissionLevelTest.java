package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.moorstage.core.Fleet;
import io.moorstage.core.message.CapacityReport;
import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.state.TargetPhase;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a level that rejects openings although a target may admit them. */
class AdmissionLevelTest {
  private static final long NOW_MS = 100_000;
  private static final int REPORT_INTERVAL_MS = 500;
  private static final int REPORT_VALID_MS = 750;
  private static final int FIRST_ADDRESS = 0x0A010010;
  private static final long SEED = 20261203;

  private final AdmissionLevel level = new AdmissionLevel(true);
  private final List<TargetSlot> slots = new ArrayList<>();
  private TargetPool pool;

  @BeforeEach
  void createThreeTargets() {
    for (int index = 0; index < 3; index++) {
      slots.add(new TargetSlot(Fleet.target(FIRST_ADDRESS + index, TargetPhase.READY, 1), 0));
    }
    pool = new TargetPool(Fleet.SERVICE, Fleet.ZONE, slots, Fleet.POLICY);
  }

  private static void report(TargetSlot slot, int admittedRank, long nowMs) {
    slot.recordCapacity(new CapacityReport(0, 0, admittedRank), REPORT_INTERVAL_MS, nowMs);
  }

  private void report(int... admittedRanks) {
    for (int index = 0; index < admittedRanks.length; index++) {
      report(slots.get(index), admittedRanks[index], NOW_MS);
    }
  }

  @Test
  void allIsAdmittedWithoutReports() {
    assertThat(level.of(pool, NOW_MS)).isEqualTo(SchedulingTerms.ADMIT_ALL);
    assertThat(level.admits(pool, SchedulingTerms.ADMIT_ALL - 1, NOW_MS)).isTrue();
  }

  @Test
  void levelIsTheLargestRankThatATargetAdmits() {
    report(300, 700, 500);
    assertThat(level.of(pool, NOW_MS)).isEqualTo(700);
    assertThat(level.admits(pool, 700, NOW_MS)).isTrue();
    assertThat(level.admits(pool, 701, NOW_MS)).isFalse();
  }

  @Test
  void allIsAdmittedWhileATargetHasNotReported() {
    report(300, 700);
    assertThat(level.of(pool, NOW_MS)).isEqualTo(SchedulingTerms.ADMIT_ALL);
  }

  @Test
  void levelReturnsWhenTheReportsExpire() {
    report(300, 700, 500);
    assertThat(level.of(pool, NOW_MS + REPORT_VALID_MS)).isEqualTo(700);
    assertThat(level.of(pool, NOW_MS + REPORT_VALID_MS + 1)).isEqualTo(SchedulingTerms.ADMIT_ALL);
  }

  @Test
  void targetsThatGetNoNewFlowsDoNotRaiseTheLevel() {
    report(300, 300, 700);
    slots.get(2).update(Fleet.target(FIRST_ADDRESS + 2, TargetPhase.DRAINING, 2), NOW_MS);
    assertThat(level.of(pool, NOW_MS)).isEqualTo(300);
    slots.get(2).update(Fleet.target(FIRST_ADDRESS + 2, TargetPhase.READY, 3), NOW_MS);
    assertThat(level.of(pool, NOW_MS)).isEqualTo(700);

    slots.get(2).setEvacuated(true, NOW_MS);
    assertThat(level.of(pool, NOW_MS)).isEqualTo(300);
    slots.get(2).setEvacuated(false, NOW_MS);

    slots.get(2).markColdAtLimit(10, NOW_MS - 9);
    assertThat(level.of(pool, NOW_MS)).isEqualTo(300);
    assertThat(level.of(pool, NOW_MS + 1)).isEqualTo(700);

    slots.get(2).recordEjection(true, 10, NOW_MS);
    assertThat(level.of(pool, NOW_MS)).isEqualTo(300);
    slots.get(2).recordEjection(false, 10, NOW_MS);

    slots.get(2).markSuspect(1_000, NOW_MS);
    assertThat(level.of(pool, NOW_MS)).isEqualTo(300);
    assertThat(level.admits(pool, 301, NOW_MS)).isFalse();
  }

  @Test
  void suspectTargetsCountIfThereAreNoOthers() {
    report(300, 300, 700);
    slots.forEach(slot -> slot.markSuspect(1_000, NOW_MS));
    assertThat(level.of(pool, NOW_MS)).isEqualTo(700);
  }

  @Test
  void ejectedTargetsCountIfMostAreEjected() {
    report(300, 300, 700);
    slots.get(1).recordEjection(true, 1_000, NOW_MS);
    slots.get(2).recordEjection(true, 1_000, NOW_MS);
    assertThat(level.of(pool, NOW_MS)).isEqualTo(700);
    assertThat(level.admits(pool, 700, NOW_MS)).isTrue();
  }

  @Test
  void serviceWithoutEligibleTargetHasNoLevel() {
    report(300, 300, 300);
    slots.forEach(slot -> slot.setEvacuated(true, NOW_MS));
    assertThat(level.of(pool, NOW_MS)).isEqualTo(SchedulingTerms.ADMIT_ALL);
    assertThat(level.admits(pool, 301, NOW_MS)).isTrue();
  }

  @Test
  void shortCheckAgreesWithTheLevelForRandomPools() {
    Random random = new Random(SEED);
    for (int round = 0; round < 2_000; round++) {
      for (TargetSlot slot : slots) {
        report(slot, random.nextInt(1_000), NOW_MS - random.nextInt(REPORT_VALID_MS + 100));
        slot.recordEjection(random.nextInt(3) == 0, 10, NOW_MS);
        slot.setEvacuated(random.nextInt(5) == 0, NOW_MS);
        slot.markColdAtLimit(random.nextInt(5) == 0 ? 10 : 0, NOW_MS);
      }
      if (round == 1_000) {
        slots.get(0).markSuspect(1_000, NOW_MS);
      }
      int rank = random.nextInt(1_000);
      assertWithMessage("round %s", round)
          .that(level.admits(pool, rank, NOW_MS))
          .isEqualTo(rank <= level.of(pool, NOW_MS));
    }
  }
}
