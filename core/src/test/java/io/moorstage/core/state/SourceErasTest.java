package io.moorstage.core.state;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.moorstage.core.Fleet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** A source that has come back from an older copy: counts of revisions go back, the era rises. */
class SourceErasTest {
  private static final long STARTED_AT_MS = 1_796_270_706_786L;

  private static long before(long count) {
    return Revision.of(1, count);
  }

  private static long after(long count) {
    return Revision.of(2, count);
  }

  private static TargetRecord target(TargetPhase phase, long revision) {
    return Fleet.target(1, phase, revision);
  }

  private static TargetRecord started(long startedAtMs, TargetPhase phase, long revision) {
    return new TargetRecord(
        "t1", startedAtMs, Fleet.SERVICE, 1, Fleet.ZONE, 2, phase, false, 0, 1, revision);
  }

  private static StateChanges written(long revision, TargetRecord... targets) {
    return new StateChanges(revision, List.of(targets), Map.of(), null, List.of());
  }

  private static TargetPhase phaseIn(FleetState state) {
    return state.target("t1").phase();
  }

  @Test
  void laterEraIsNewerWhateverItsCount() {
    assertThat(after(0)).isGreaterThan(before(Revision.MAX_COUNT));
    assertThat(Revision.era(after(18))).isEqualTo(2);
    assertThat(Revision.count(after(18))).isEqualTo(18);
    assertThat(Revision.of(0, 18)).isEqualTo(18);
    assertThat(Revision.of(Revision.MAX_ERA, Revision.MAX_COUNT)).isEqualTo(Long.MAX_VALUE);
    assertThat(Revision.text(after(18))).isEqualTo("2.18");
    assertThat(Revision.text(18)).isEqualTo("18");
    assertThrows(IllegalArgumentException.class, () -> Revision.of(Revision.MAX_ERA + 1, 0));
    assertThrows(IllegalArgumentException.class, () -> Revision.of(0, Revision.MAX_COUNT + 1));
    assertThrows(IllegalArgumentException.class, () -> Revision.of(0, -1));
  }

  @Test
  void whatIsWrittenAtACountOfBeforeIsTaken() {
    FleetState own = Fleet.state(before(18), target(TargetPhase.READY, before(3)));
    FleetState restored =
        own.replaceBy(Fleet.state(after(16), target(TargetPhase.READY, after(3))));
    assertThat(restored.revision()).isEqualTo(after(16));
    FleetState told = restored.apply(written(after(17), target(TargetPhase.DRAINING, after(17))));
    assertThat(phaseIn(told)).isEqualTo(TargetPhase.DRAINING);
  }

  @Test
  void nodeOfTheEarlierEraTakesAllFromAPeerOfTheLaterOne() {
    FleetState own = Fleet.state(before(18), target(TargetPhase.READY, before(3)));
    FleetState peer = Fleet.state(after(5), target(TargetPhase.DRAINING, after(4)));
    FleetState caughtUp = own.merge(peer.since(own.revision(), own.configuration().version()));
    assertThat(caughtUp.revision()).isEqualTo(after(5));
    assertThat(phaseIn(caughtUp)).isEqualTo(TargetPhase.DRAINING);
    assertThat(caughtUp.merge(own.since(0, 0)).revision()).isEqualTo(after(5));
  }

  @Test
  void configurationNeverRevertsToThatOfTheCopy() {
    FleetState own = Fleet.state(before(18), 9);
    assertThat(own.replaceBy(Fleet.state(after(16), 5)).configuration().version()).isEqualTo(9);
  }

  @Test
  void answerOfTheEarlierEraComesTooLate() {
    FleetState own = Fleet.state(after(16), target(TargetPhase.DRAINING, after(15)));
    TargetRecord other = Fleet.listed("t2", Fleet.SERVICE, 2, before(30));
    FleetState same = own.apply(written(before(30), target(TargetPhase.READY, before(29)), other));
    assertThat(same.revision()).isEqualTo(after(16));
    assertThat(phaseIn(same)).isEqualTo(TargetPhase.DRAINING);
    assertThat(same.target("t2")).isNull();
  }

  @Test
  void targetThatTheCopyLacksIsKeptUntilItIsTakenForGone() {
    FleetState own = Fleet.state(before(18), target(TargetPhase.READY, before(17)));
    FleetState restored = own.replaceBy(Fleet.state(after(16)));
    assertThat(restored.hasUnconfirmed()).isTrue();
    assertThat(phaseIn(restored)).isEqualTo(TargetPhase.READY);
    // Another complete reading, still without it, comes before the target has written again.
    FleetState again = restored.replaceBy(Fleet.state(after(19)));
    assertThat(phaseIn(again)).isEqualTo(TargetPhase.READY);

    FleetState confirmed = again.withoutUnconfirmed();
    assertThat(confirmed.target("t1").revision()).isEqualTo(after(19));
    assertThat(phaseIn(confirmed)).isEqualTo(TargetPhase.GONE);
    assertThat(confirmed.hasUnconfirmed()).isFalse();
  }

  @Test
  void targetThatIsWrittenAgainIsConfirmed() {
    FleetState own = Fleet.state(before(18), target(TargetPhase.READY, before(17)));
    FleetState restored =
        own.replaceBy(Fleet.state(after(16)))
            .apply(written(after(17), target(TargetPhase.READY, after(17))));
    assertThat(restored.hasUnconfirmed()).isFalse();
    assertThat(phaseIn(restored.withoutUnconfirmed())).isEqualTo(TargetPhase.READY);
  }

  @Test
  void targetThatHasLeftWithinOneEraIsGoneAtOnce() {
    FleetState own = Fleet.state(after(16), target(TargetPhase.READY, after(15)));
    assertThat(phaseIn(own.replaceBy(Fleet.state(after(19))))).isEqualTo(TargetPhase.GONE);
  }

  @Test
  void evacuationThatTheCopyLacksIsKeptUntilItIsTakenForLifted() {
    FleetState own = Fleet.evacuated(Fleet.state(before(18)), "z", "y");
    FleetState restored = own.replaceBy(Fleet.state(after(16)));
    assertThat(restored.evacuations().zones()).containsExactly("z", "y");
    ZoneEvacuation again = new ZoneEvacuation("y", true, after(17));
    FleetState told =
        restored.apply(new StateChanges(after(17), List.of(), Map.of(), null, List.of(again)));
    assertThat(told.hasUnconfirmed()).isTrue();
    assertThat(told.withoutUnconfirmed().evacuations().zones()).containsExactly("y");
  }

  // The copy lists it as ready until the target has written again.
  @Test
  void targetThatHasSaidThatItLeavesDoesSoInALaterEra() {
    FleetState own = Fleet.state(before(18), target(TargetPhase.DRAINING, before(17)));
    FleetState copy = Fleet.state(after(16), target(TargetPhase.READY, after(3)));
    assertThat(phaseIn(own.replaceBy(copy))).isEqualTo(TargetPhase.DRAINING);
    assertThat(phaseIn(copy.merge(own))).isEqualTo(TargetPhase.DRAINING);
    FleetState left =
        own.apply(new StateChanges(before(19), List.of(), goneAt19(), null, List.of()));
    assertThat(phaseIn(left)).isEqualTo(TargetPhase.GONE);
    assertThat(phaseIn(left.replaceBy(copy))).isEqualTo(TargetPhase.DRAINING);
  }

  private static Map<String, Long> goneAt19() {
    return Map.of("t1", before(19));
  }

  @Test
  void targetThatHasStartedAgainIsNotBoundByWhatTheEarlierStartSaid() {
    TargetRecord leaving = started(STARTED_AT_MS, TargetPhase.DRAINING, before(17));
    TargetRecord next = started(STARTED_AT_MS + 1, TargetPhase.READY, after(17));
    FleetState own = Fleet.state(before(18), leaving).replaceBy(Fleet.state(after(17), next));
    assertThat(phaseIn(own)).isEqualTo(TargetPhase.READY);
    assertThat(next.startNumber()).isNotEqualTo(leaving.startNumber());
  }

  @Test
  void recordOfAnEarlierStartChangesNothingOfTheLaterOneThoughItIsWrittenLater() {
    TargetRecord next = started(STARTED_AT_MS + 1, TargetPhase.READY, before(17));
    TargetRecord late = started(STARTED_AT_MS, TargetPhase.DRAINING, before(18));
    FleetState own = Fleet.state(before(17), next);
    assertThat(own.apply(written(before(18), late)).target("t1")).isEqualTo(next);
    assertThat(own.merge(Fleet.state(before(18), late)).target("t1")).isEqualTo(next);
    assertThat(Fleet.state(before(18), late).merge(own).target("t1")).isEqualTo(next);
  }

  // The copy lists the target that had the address before.
  @Test
  void targetThatTheCopyListsDoesNotHideTheLaterStartAtItsAddress() {
    TargetRecord now = started(STARTED_AT_MS + 1, TargetPhase.READY, before(17));
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
            after(3),
            after(3));
    FleetState own = Fleet.state(before(18), now).replaceBy(Fleet.state(after(16), ended));
    assertThat(own.targetsByAddress()).containsExactly(1, now);
  }

  @Test
  void startThatIsKnownDoesNotTakeBackThatItLeaves() {
    TargetRecord leaving = started(STARTED_AT_MS, TargetPhase.DRAINING, before(17));
    TargetRecord ready = started(STARTED_AT_MS, TargetPhase.READY, before(18));
    FleetState own = Fleet.state(before(17), leaving).apply(written(before(18), ready));
    assertThat(phaseIn(own)).isEqualTo(TargetPhase.DRAINING);
  }
}
