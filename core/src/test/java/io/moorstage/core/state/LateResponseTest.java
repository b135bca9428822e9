package io.moorstage.core.state;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests responses of the source that arrive after this node has taken a newer state from a peer.
 * Records at or below the node's revision are ignored, except in a response with exactly that
 * revision: the source may report a change only after it has reported a higher revision.
 */
class LateResponseTest {

  // The request to the source was sent at 1; the node then took a peer's state at 3.
  @Test
  void staleResponseAddsNoTargetThatHasEndedSince() {
    FleetState own = Fleet.state(1).replaceBy(Fleet.state(3));
    assertThat(own.apply(written(2, Fleet.listed("t", Fleet.SERVICE, 1, 2))).target("t")).isNull();
  }

  // Expired at 2, listed again at 3, ended at 4; the node was complete at 1, 2 and 4.
  @Test
  void staleResponseDoesNotListAGoneTargetAgain() {
    TargetRecord listedAgain = Fleet.listed("t", Fleet.SERVICE, 1, 3);
    FleetState own =
        Fleet.state(1, Fleet.listed("t", Fleet.SERVICE, 1, 1))
            .replaceBy(Fleet.state(2))
            .replaceBy(Fleet.state(4));
    assertThat(own.apply(written(3, listedAgain)).target("t").phase()).isEqualTo(TargetPhase.GONE);
    assertThat(own.merge(Fleet.state(3, listedAgain)).target("t").phase())
        .isEqualTo(TargetPhase.GONE);
  }

  // The request was sent at 1 and the response goes up to 6; the node took a peer's state at 3.
  @Test
  void onlyTheNewerChangesOfALateResponseAreTaken() {
    TargetRecord old = Fleet.listed("old", Fleet.SERVICE, 1, 2);
    TargetRecord next = Fleet.listed("next", Fleet.SERVICE, 2, 4);
    TargetRecord last = Fleet.listed("last", Fleet.SERVICE, 3, 6);
    StateChanges late =
        new StateChanges(
            6, List.of(old, next, last), Map.of("old", 3L, "next", 5L), null, List.of());
    FleetState own = Fleet.state(1).replaceBy(Fleet.state(3)).apply(late);
    assertThat(own.revision()).isEqualTo(6);
    assertThat(own.targetsByAddress()).containsExactly(2, next.gone(5), 3, last);
  }

  // Set at 2, lifted at 3; the node was complete at 1 and 3.
  @Test
  void staleResponseSetsNoEvacuationThatHasBeenLiftedSince() {
    ZoneEvacuation set = new ZoneEvacuation("z", true, 2);
    FleetState own = Fleet.state(1).replaceBy(Fleet.state(3));
    StateChanges late = new StateChanges(2, List.of(), Map.of(), null, List.of(set));
    assertThat(own.apply(late).evacuations().zones()).isEmpty();
  }

  // The source skips changes and drops its history, so only a complete state holds them.
  @Test
  void completeStateAddsTheChangesThatAResponseHasSkipped() {
    FleetState own = Fleet.state(18, Fleet.target(1, TargetPhase.READY, 3)).apply(written(20));
    assertThat(own.revision()).isEqualTo(20);
    TargetRecord leaving = Fleet.target(1, TargetPhase.DRAINING, 19);
    TargetRecord other = Fleet.listed("other", Fleet.SERVICE, 2, 20);
    FleetState updated = own.replaceBy(Fleet.state(20, leaving, other));
    assertThat(updated.target("t1")).isEqualTo(leaving);
    assertThat(updated.target("other")).isEqualTo(other);
  }

  private static StateChanges written(long revision, TargetRecord... targets) {
    return new StateChanges(revision, List.of(targets), Map.of(), null, List.of());
  }
}
