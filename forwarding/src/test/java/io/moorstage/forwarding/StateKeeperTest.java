package io.moorstage.forwarding;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.transparent.FleetState;
import io.moorstage.core.transparent.ForwardingConfiguration;
import io.moorstage.core.transparent.TargetPhase;
import io.moorstage.core.transparent.TargetRecord;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

class StateKeeperTest {
  private static final int GONE_MEMORY_MS = 70_000;

  private static FleetState stateAt(long revision, TargetRecord... targets) {
    return FleetState.of(
        revision, new ForwardingConfiguration(1, 1_000, List.of()), List.of(targets));
  }

  private static TargetRecord target(String id, long revision) {
    return new TargetRecord(id, "s", 1, "z", 5, TargetPhase.READY, 0, 1, revision);
  }

  // The balancer's threads once waited for each other: one held the keeper and wanted the beacons,
  // the other held the beacons and wanted the keeper.
  @Test
  void stateCanBeReadByAnotherThreadWhileAListenerRuns() {
    AtomicReference<StateKeeper> keeper = new AtomicReference<>();
    AtomicReference<FleetState> seenByOther = new AtomicReference<>();
    StateKeeper.Listener listener =
        (before, after, nowMs) -> {
          CompletableFuture<FleetState> other =
              CompletableFuture.supplyAsync(() -> keeper.get().state());
          seenByOther.set(other.orTimeout(5, TimeUnit.SECONDS).exceptionally(e -> null).join());
        };
    keeper.set(new StateKeeper(GONE_MEMORY_MS, listener));

    keeper.get().replaceBy(stateAt(7), 0);

    assertThat(seenByOther.get()).isNotNull();
    assertThat(seenByOther.get().revision()).isEqualTo(7);
  }

  @Test
  void targetThatIsNoLongerListedIsGoneAndForgottenLater() {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(3, target("a", 2)), 0);

    keeper.replaceBy(stateAt(5), 1_000);
    assertThat(keeper.state().target("a").phase()).isEqualTo(TargetPhase.GONE);

    keeper.replaceBy(stateAt(6), 1_000 + GONE_MEMORY_MS + 1);
    assertThat(keeper.state().target("a")).isNull();
  }

  @Test
  void targetThatCameBackIsRememberedAsLongAsAnyOtherWhenItGoesAgain() {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(3, target("a", 2)), 0);
    keeper.replaceBy(stateAt(5), 1_000);
    keeper.replaceBy(stateAt(7, target("a", 6)), 2_000);

    keeper.replaceBy(stateAt(9), 2_000 + GONE_MEMORY_MS);
    assertThat(keeper.state().target("a").phase()).isEqualTo(TargetPhase.GONE);
  }

  @Test
  void olderStateOfAPeerTakesNothingBack() {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(9, target("new", 8)), 0);

    keeper.merge(stateAt(4, target("old", 4)), 10);

    assertThat(keeper.state().revision()).isEqualTo(9);
    assertThat(keeper.state().target("old")).isNull();
  }

  @Test
  void peerThatIsBehindGetsOnlyWhatHasChanged() throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(3, target("a", 2)), 0);
    keeper.replaceBy(stateAt(5, target("a", 2), target("b", 4)), 0);

    FleetStateCodec.PeerState told = FleetStateCodec.decode(keeper.encodedSince(3, 1));
    assertThat(told.complete()).isFalse();
    assertThat(told.state().revision()).isEqualTo(5);
    assertThat(told.state().targets()).containsExactly(target("b", 4));
    assertThat(told.state().configuration().version()).isEqualTo(0);
    FleetState merged = stateAt(3, target("a", 2)).merge(told.state());
    assertThat(merged.targets()).containsExactly(target("a", 2), target("b", 4));
    assertThat(merged.configuration().version()).isEqualTo(1);
  }

  // What was forgotten is in no change: a peer that still lists it would keep it for good.
  @Test
  void peerThatIsBehindWhatWasForgottenGetsTheWholeState() throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(3, target("a", 2)), 0);
    keeper.replaceBy(stateAt(5), 1_000);
    keeper.replaceBy(stateAt(6), 1_000 + GONE_MEMORY_MS + 1);

    assertThat(FleetStateCodec.decode(keeper.encodedSince(3, 1)).complete()).isTrue();
    assertThat(FleetStateCodec.decode(keeper.encodedSince(5, 1)).complete()).isFalse();
    assertThat(FleetStateCodec.decode(keeper.encodedSince(0, 0)).complete()).isTrue();
  }

  @Test
  void encodedStateIsThatOfTheNewestState() throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    assertThat(keeper.encoded()).isNull();

    keeper.replaceBy(stateAt(3, target("a", 2)), 0);
    keeper.replaceBy(stateAt(5, target("a", 2), target("b", 4)), 0);

    FleetState read = FleetStateCodec.decode(keeper.encoded()).state();
    assertThat(read.revision()).isEqualTo(5);
    assertThat(read.targets()).containsExactly(target("a", 2), target("b", 4));
  }
}
