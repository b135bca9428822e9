package io.moorstage.core.state;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.moorstage.core.Fleet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests states of a source that was restored from an older copy: the counts of its revisions go
 * back and its era increases.
 */
class SourceErasTest {
  private static final long STARTED_AT_MS = 1_796_270_706_786L;

  private static long beforeRestore(long count) {
    return Revision.of(1, count);
  }

  private static long afterRestore(long count) {
    return Revision.of(2, count);
  }

  private static TargetRecord target(TargetPhase phase, long revision) {
    return Fleet.target(1, phase, revision);
  }

  private static TargetRecord started(long startedAtMs, TargetPhase phase, long revision) {
    return new TargetRecord(
        "t1", startedAtMs, Fleet.SERVICE, 1, Fleet.ZONE, 2, phase, false, 0, 1, false, revision);
  }

  private static StateChanges written(long revision, TargetRecord... targets) {
    return new StateChanges(revision, List.of(targets), Map.of(), null, List.of());
  }

  private static TargetPhase phaseIn(FleetState state) {
    return state.target("t1").phase();
  }

  @Test
  void laterEraIsNewerWhateverItsCount() {
    assertThat(afterRestore(0)).isGreaterThan(beforeRestore(Revision.MAX_COUNT));
    assertThat(Revision.era(afterRestore(18))).isEqualTo(2);
    assertThat(Revision.count(afterRestore(18))).isEqualTo(18);
    assertThat(Revision.of(0, 18)).isEqualTo(18);
    assertThat(Revision.of(Revision.MAX_ERA, Revision.MAX_COUNT)).isEqualTo(Long.MAX_VALUE);
    assertThat(Revision.text(afterRestore(18))).isEqualTo("2.18");
    assertThat(Revision.text(18)).isEqualTo("18");
    assertThrows(IllegalArgumentException.class, () -> Revision.of(Revision.MAX_ERA + 1, 0));
    assertThrows(IllegalArgumentException.class, () -> Revision.of(0, Revision.MAX_COUNT + 1));
    assertThrows(IllegalArgumentException.class, () -> Revision.of(0, -1));
  }

  @Test
  void changeAtACountOfTheEarlierEraIsTaken() {
    FleetState own = Fleet.state(beforeRestore(18), target(TargetPhase.READY, beforeRestore(3)));
    FleetState restored =
        own.replaceBy(Fleet.state(afterRestore(16), target(TargetPhase.READY, afterRestore(3))));
    assertThat(restored.revision()).isEqualTo(afterRestore(16));
    FleetState updated =
        restored.apply(written(afterRestore(17), target(TargetPhase.DRAINING, afterRestore(17))));
    assertThat(phaseIn(updated)).isEqualTo(TargetPhase.DRAINING);
  }

  @Test
  void nodeInTheEarlierEraTakesTheStateOfAPeerInTheLaterOne() {
    FleetState own = Fleet.state(beforeRestore(18), target(TargetPhase.READY, beforeRestore(3)));
    FleetState peer = Fleet.state(afterRestore(5), target(TargetPhase.DRAINING, afterRestore(4)));
    FleetState caughtUp = own.merge(peer.since(own.revision(), own.configuration().version()));
    assertThat(caughtUp.revision()).isEqualTo(afterRestore(5));
    assertThat(phaseIn(caughtUp)).isEqualTo(TargetPhase.DRAINING);
    assertThat(caughtUp.merge(own.since(0, 0)).revision()).isEqualTo(afterRestore(5));
  }

  @Test
  void configurationNeverRevertsToThatOfTheRestoredCopy() {
    FleetState own = Fleet.state(beforeRestore(18), 9);
    assertThat(own.replaceBy(Fleet.state(afterRestore(16), 5)).configuration().version())
        .isEqualTo(9);
  }

  @Test
  void responseOfTheEarlierEraIsIgnored() {
    FleetState own = Fleet.state(afterRestore(16), target(TargetPhase.DRAINING, afterRestore(15)));
    TargetRecord other = Fleet.listed("t2", Fleet.SERVICE, 2, beforeRestore(30));
    FleetState same =
        own.apply(written(beforeRestore(30), target(TargetPhase.READY, beforeRestore(29)), other));
    assertThat(same.revision()).isEqualTo(afterRestore(16));
    assertThat(phaseIn(same)).isEqualTo(TargetPhase.DRAINING);
    assertThat(same.target("t2")).isNull();
  }

  @Test
  void targetMissingFromTheRestoredCopyStaysUntilUnconfirmedTargetsAreRemoved() {
    FleetState own = Fleet.state(beforeRestore(18), target(TargetPhase.READY, beforeRestore(17)));
    FleetState restored = own.replaceBy(Fleet.state(afterRestore(16)));
    assertThat(restored.hasUnconfirmed()).isTrue();
    assertThat(phaseIn(restored)).isEqualTo(TargetPhase.READY);
    // Another complete state still lacks the target, which has not yet written its entry again.
    FleetState again = restored.replaceBy(Fleet.state(afterRestore(19)));
    assertThat(phaseIn(again)).isEqualTo(TargetPhase.READY);

    FleetState confirmed = again.withoutUnconfirmed();
    assertThat(confirmed.target("t1").revision()).isEqualTo(afterRestore(19));
    assertThat(phaseIn(confirmed)).isEqualTo(TargetPhase.GONE);
    assertThat(confirmed.hasUnconfirmed()).isFalse();
  }

  @Test
  void targetThatIsWrittenAgainIsConfirmed() {
    FleetState own = Fleet.state(beforeRestore(18), target(TargetPhase.READY, beforeRestore(17)));
    FleetState restored =
        own.replaceBy(Fleet.state(afterRestore(16)))
            .apply(written(afterRestore(17), target(TargetPhase.READY, afterRestore(17))));
    assertThat(restored.hasUnconfirmed()).isFalse();
    assertThat(phaseIn(restored.withoutUnconfirmed())).isEqualTo(TargetPhase.READY);
  }

  @Test
  void targetThatIsRemovedWithinOneEraIsGoneAtOnce() {
    FleetState own = Fleet.state(afterRestore(16), target(TargetPhase.READY, afterRestore(15)));
    assertThat(phaseIn(own.replaceBy(Fleet.state(afterRestore(19))))).isEqualTo(TargetPhase.GONE);
  }

  @Test
  void evacuationMissingFromTheRestoredCopyStaysUntilUnconfirmedOnesAreLifted() {
    FleetState own = Fleet.evacuated(Fleet.state(beforeRestore(18)), "z", "y");
    FleetState restored = own.replaceBy(Fleet.state(afterRestore(16)));
    assertThat(restored.evacuations().zones()).containsExactly("z", "y");
    ZoneEvacuation again = new ZoneEvacuation("y", true, afterRestore(17));
    FleetState updated =
        restored.apply(
            new StateChanges(afterRestore(17), List.of(), Map.of(), null, List.of(again)));
    assertThat(updated.hasUnconfirmed()).isTrue();
    assertThat(updated.withoutUnconfirmed().evacuations().zones()).containsExactly("y");
  }

  // The restored copy lists the target as ready until it has written its entry again.
  @Test
  void drainingTargetStaysDrainingInALaterEra() {
    FleetState own =
        Fleet.state(beforeRestore(18), target(TargetPhase.DRAINING, beforeRestore(17)));
    FleetState copy = Fleet.state(afterRestore(16), target(TargetPhase.READY, afterRestore(3)));
    assertThat(phaseIn(own.replaceBy(copy))).isEqualTo(TargetPhase.DRAINING);
    assertThat(phaseIn(copy.merge(own))).isEqualTo(TargetPhase.DRAINING);
    FleetState removed =
        own.apply(new StateChanges(beforeRestore(19), List.of(), goneAt19(), null, List.of()));
    assertThat(phaseIn(removed)).isEqualTo(TargetPhase.GONE);
    assertThat(phaseIn(removed.replaceBy(copy))).isEqualTo(TargetPhase.DRAINING);
  }

  private static Map<String, Long> goneAt19() {
    return Map.of("t1", beforeRestore(19));
  }

  @Test
  void restartedTargetIsReadyAlthoughItsEarlierStartWasDraining() {
    TargetRecord draining = started(STARTED_AT_MS, TargetPhase.DRAINING, beforeRestore(17));
    TargetRecord next = started(STARTED_AT_MS + 1, TargetPhase.READY, afterRestore(17));
    FleetState own =
        Fleet.state(beforeRestore(18), draining).replaceBy(Fleet.state(afterRestore(17), next));
    assertThat(phaseIn(own)).isEqualTo(TargetPhase.READY);
    assertThat(next.startNumber()).isNotEqualTo(draining.startNumber());
  }

  @Test
  void recordOfAnEarlierStartNeverReplacesThatOfTheLaterStart() {
    TargetRecord next = started(STARTED_AT_MS + 1, TargetPhase.READY, beforeRestore(17));
    TargetRecord late = started(STARTED_AT_MS, TargetPhase.DRAINING, beforeRestore(18));
    FleetState own = Fleet.state(beforeRestore(17), next);
    assertThat(own.apply(written(beforeRestore(18), late)).target("t1")).isEqualTo(next);
    assertThat(own.merge(Fleet.state(beforeRestore(18), late)).target("t1")).isEqualTo(next);
    assertThat(Fleet.state(beforeRestore(18), late).merge(own).target("t1")).isEqualTo(next);
  }

  // The restored copy lists the target that had the address earlier.
  @Test
  void targetListedByTheRestoredCopyDoesNotHideTheLaterStartAtItsAddress() {
    TargetRecord now = started(STARTED_AT_MS + 1, TargetPhase.READY, beforeRestore(17));
    TargetRecord ended =
        new TargetRecord(
            "t0",
            STARTED_AT_MS,
            Fleet.SERVICE,
            1,
            Fleet.ZONE,
            2,
            TargetPhase.READY,
            false,
            0,
            afterRestore(3),
            false,
            afterRestore(3));
    FleetState own =
        Fleet.state(beforeRestore(18), now).replaceBy(Fleet.state(afterRestore(16), ended));
    assertThat(own.targetsByAddress()).containsExactly(1, now);
  }

  @Test
  void drainingStartDoesNotBecomeReadyAgain() {
    TargetRecord draining = started(STARTED_AT_MS, TargetPhase.DRAINING, beforeRestore(17));
    TargetRecord ready = started(STARTED_AT_MS, TargetPhase.READY, beforeRestore(18));
    FleetState own =
        Fleet.state(beforeRestore(17), draining).apply(written(beforeRestore(18), ready));
    assertThat(phaseIn(own)).isEqualTo(TargetPhase.DRAINING);
  }
}
