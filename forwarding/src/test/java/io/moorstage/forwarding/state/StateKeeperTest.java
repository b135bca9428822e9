package io.moorstage.forwarding.state;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.state.Evacuations;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.Revision;
import io.moorstage.core.state.StateChanges;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import io.moorstage.core.state.WeightedService;
import io.moorstage.core.state.ZoneEvacuation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

class StateKeeperTest {
  private static final int GONE_MEMORY_MS = 70_000;

  private static FleetState stateAt(long revision, TargetRecord... targets) {
    return FleetState.of(
        revision,
        new ForwardingConfiguration(1, 1_000, List.of(), Map.of()),
        List.of(targets),
        Evacuations.NONE);
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
  void whatIsKnownFromAnEarlierEraOnlyIsDroppedSomeTimeAfterTheSourceHasComeBack() {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(Revision.of(1, 18), target("a", Revision.of(1, 17))), 0);
    keeper.replaceBy(stateAt(Revision.of(2, 16)), 1_000);
    keeper.onTick(1_000 + StateKeeper.UNCONFIRMED_MS - 1);
    assertThat(keeper.state().target("a").phase()).isEqualTo(TargetPhase.READY);
    keeper.onTick(1_000 + StateKeeper.UNCONFIRMED_MS);
    assertThat(keeper.state().target("a").phase()).isEqualTo(TargetPhase.GONE);
  }

  @Test
  void nodeThatLearnsOfTheLaterEraFromAPeerDropsWhatNobodyHasWrittenAgainToo() {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    long known = Revision.of(1, 18);
    keeper.replaceBy(stateAt(known, target("a", 2), target("b", 3)), 0);
    keeper.merge(stateAt(Revision.of(2, 16), target("b", Revision.of(2, 3))), known, 1_000);
    keeper.onTick(1_000 + StateKeeper.UNCONFIRMED_MS);
    assertThat(keeper.state().target("a").phase()).isEqualTo(TargetPhase.GONE);
    assertThat(keeper.state().target("b").phase()).isEqualTo(TargetPhase.READY);
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

  private static FleetState routedAt(long version, String... services) {
    List<WeightedService> parts = new ArrayList<>();
    for (String service : services) {
      parts.add(new WeightedService(service, 1));
    }
    ForwardingRoute route = new ForwardingRoute(1, 443, 0, true, parts);
    return FleetState.of(
        version,
        new ForwardingConfiguration(version, 1_000, List.of(route), Map.of()),
        List.of(),
        Evacuations.NONE);
  }

  private static List<WeightedService> servicesIn(FleetState state) {
    return state.configuration().routes().get(0).services();
  }

  @Test
  void serviceThatARouteHadBeforeIsRememberedForAsLongAsItsFlowsMayBeOpen() {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(routedAt(1, "a"), 0);
    keeper.replaceBy(routedAt(2, "b"), 1_000);
    keeper.replaceBy(routedAt(3, "c"), 2_000);
    WeightedService now = new WeightedService("c", 1);
    WeightedService later = new WeightedService("b", 0);

    keeper.replaceBy(routedAt(3, "c"), 1_000 + GONE_MEMORY_MS);
    assertThat(servicesIn(keeper.state())).containsExactly(now, later, new WeightedService("a", 0));

    keeper.replaceBy(routedAt(3, "c"), 1_000 + GONE_MEMORY_MS + 1);
    assertThat(servicesIn(keeper.state())).containsExactly(now, later);

    keeper.replaceBy(routedAt(3, "c"), 2_000 + GONE_MEMORY_MS + 1);
    assertThat(servicesIn(keeper.state())).containsExactly(now);
  }

  @Test
  void serviceThatARouteGetsBackAndLosesAgainIsRememberedAnew() {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(routedAt(1, "a"), 0);
    keeper.replaceBy(routedAt(2, "b"), 1_000);
    keeper.replaceBy(routedAt(3, "a", "b"), 2_000);
    keeper.replaceBy(routedAt(4, "b"), 3_000);

    keeper.replaceBy(routedAt(4, "b"), 3_000 + GONE_MEMORY_MS);
    assertThat(servicesIn(keeper.state())).contains(new WeightedService("a", 0));
  }

  @Test
  void peerThatStartsIsHandedTheServicesThatRoutesHadBefore() throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(routedAt(1, "a"), 0);
    keeper.replaceBy(routedAt(2, "b"), 1_000);

    FleetState handed = FleetStateCodec.decode(keeper.encodedSince(0, 0)).state();
    assertThat(servicesIn(handed))
        .containsExactly(new WeightedService("b", 1), new WeightedService("a", 0));
  }

  @Test
  void olderStateOfAPeerTakesNothingBack() {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(9, target("new", 8)), 0);

    keeper.merge(stateAt(4, target("old", 4)), 9, 10);

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

  // A node that has started by a reading knows no target that was gone by then, and so tells of no
  // change of it: a peer would keep it as ready for good.
  @Test
  void peerThatKnowsWhatWasGoneBeforeTheFirstReadingGetsTheWholeState()
      throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(9, target("b", 4)), 0);
    keeper.apply(new StateChanges(11, List.of(), Map.of(), null, List.of()), 0);

    FleetStateCodec.PeerState told = FleetStateCodec.decode(keeper.encodedSince(7, 1));
    assertThat(told.complete()).isTrue();
    FleetState behind = stateAt(7, target("a", 2), target("b", 4));
    assertThat(behind.replaceBy(told.state()).target("a").phase()).isEqualTo(TargetPhase.GONE);
    assertThat(FleetStateCodec.decode(keeper.encodedSince(9, 1)).complete()).isFalse();
  }

  @Test
  void evacuationThatWasLiftedBeforeTheFirstReadingIsNotKeptByAPeer() throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(9), 0);
    ZoneEvacuation set = new ZoneEvacuation("z", true, 5);
    FleetState behind =
        stateAt(6).apply(new StateChanges(6, List.of(), Map.of(), null, List.of(set)));
    assertThat(behind.evacuations().isInForce("z")).isTrue();

    FleetStateCodec.PeerState told = FleetStateCodec.decode(keeper.encodedSince(6, 1));
    assertThat(behind.replaceBy(told.state()).evacuations().isInForce("z")).isFalse();
  }

  @Test
  void evacuationIsToldToPeersWithItsRevision() throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(3), 0);
    ZoneEvacuation set = new ZoneEvacuation("z", true, 4);
    ZoneEvacuation lifted = new ZoneEvacuation("z", false, 6);

    keeper.apply(new StateChanges(4, List.of(), Map.of(), null, List.of(set)), 0);
    FleetState peer = stateAt(3).merge(FleetStateCodec.decode(keeper.encodedSince(3, 1)).state());
    assertThat(peer.evacuations().all()).containsExactly(set);

    keeper.apply(new StateChanges(6, List.of(), Map.of(), null, List.of(lifted)), 0);
    peer = peer.merge(FleetStateCodec.decode(keeper.encodedSince(4, 1)).state());
    assertThat(peer.evacuations().all()).containsExactly(lifted);
    assertThat(FleetStateCodec.decode(keeper.encoded()).state().evacuations().all())
        .containsExactly(lifted);
  }

  private static StateKeeper keeperAt(FleetState... readings) {
    StateKeeper keeper = new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {});
    for (FleetState reading : readings) {
      keeper.replaceBy(reading, 0);
    }
    return keeper;
  }

  private static StateChanges written(long revision, TargetRecord... targets) {
    return new StateChanges(revision, List.of(targets), Map.of(), null, List.of());
  }

  /** Takes a peer's answer to a question that the node asked when it knew a revision. */
  private static void take(StateKeeper node, byte[] answer, long askedRevision)
      throws StateSourceException {
    FleetStateCodec.PeerState told = FleetStateCodec.decode(answer);
    if (told.complete()) {
      node.replaceBy(told.state(), 0);
    } else {
      node.merge(told.state(), askedRevision, 0);
    }
  }

  private static boolean lists(StateKeeper node, String id) {
    TargetRecord record = node.state().target(id);
    return record != null && record.phase() != TargetPhase.GONE;
  }

  // Listed at 1, lapsed at 2, back at 3, ended at 4; the peer has not read at 3.
  @Test
  void targetThatAPeerTellsToBeGoneIsGoneThoughItWasBackInBetween() throws StateSourceException {
    StateKeeper peer = keeperAt(stateAt(1, target("a", 1)), stateAt(2), stateAt(4));
    StateKeeper node = keeperAt(stateAt(3, target("a", 3)));

    take(node, peer.encodedSince(3, 1), 3);

    assertThat(node.state().revision()).isEqualTo(4);
    assertThat(lists(node, "a")).isFalse();
  }

  // Listed at 2, ended at 3; the first node has read at 1 and 3 and so never knew of the target.
  @Test
  void nodeThatTookChangesAcrossAGapOfItsPeerTellsTheWholeStateInThatGap()
      throws StateSourceException {
    StateKeeper first = keeperAt(stateAt(1), stateAt(3));
    StateKeeper second = keeperAt(stateAt(1));
    take(second, first.encodedSince(1, 1), 1);
    StateKeeper third = keeperAt(stateAt(2, target("a", 2)));

    take(third, second.encodedSince(2, 1), 2);

    assertThat(third.state().revision()).isEqualTo(3);
    assertThat(lists(third, "a")).isFalse();
  }

  // Listed at 2, ended at 3: the node hears of the listing while its question of 1 is under way.
  @Test
  void changesOfAPeerThatComeAfterTheNodeHasGoneOnLeaveNoEndedTarget() throws StateSourceException {
    StateKeeper peer = keeperAt(stateAt(1), stateAt(3));
    StateKeeper node = keeperAt(stateAt(1));
    byte[] late = peer.encodedSince(1, 1);
    node.apply(written(2, target("a", 2)), 0);

    take(node, late, 1);
    assertThat(node.state().revision()).isEqualTo(2);

    take(node, peer.encodedSince(2, 1), 2);
    assertThat(node.state().revision()).isEqualTo(3);
    assertThat(lists(node, "a")).isFalse();
  }

  @Test
  void changesOfAPeerThatFitTheNodeAreTaken() throws StateSourceException {
    StateKeeper peer = keeperAt(stateAt(1));
    peer.apply(written(2, target("a", 2)), 0);
    StateKeeper node = keeperAt(stateAt(1));

    take(node, peer.encodedSince(1, 1), 1);

    assertThat(node.state().revision()).isEqualTo(2);
    assertThat(lists(node, "a")).isTrue();
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
