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
  private static final int GONE_TARGET_RETENTION_MS = 70_000;

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

  // Guards against a deadlock of two threads of the balancer: one held the lock of the keeper and
  // waited for that of the beacons, the other held the lock of the beacons and waited for the
  // keeper's.
  @Test
  void stateCanBeReadByAnotherThreadWhileAListenerRuns() {
    AtomicReference<StateKeeper> keeper = new AtomicReference<>();
    AtomicReference<FleetState> stateSeenByOtherThread = new AtomicReference<>();
    StateKeeper.Listener listener =
        (before, after, nowMs) -> {
          CompletableFuture<FleetState> other =
              CompletableFuture.supplyAsync(() -> keeper.get().state());
          stateSeenByOtherThread.set(
              other.orTimeout(5, TimeUnit.SECONDS).exceptionally(e -> null).join());
        };
    keeper.set(new StateKeeper(GONE_TARGET_RETENTION_MS, listener));

    keeper.get().replaceBy(stateAt(7), 0);

    assertThat(stateSeenByOtherThread.get()).isNotNull();
    assertThat(stateSeenByOtherThread.get().revision()).isEqualTo(7);
  }

  @Test
  void unconfirmedTargetIsGoneSomeTimeAfterTheSourceWasRestored() {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(Revision.of(1, 18), target("a", Revision.of(1, 17))), 0);
    keeper.replaceBy(stateAt(Revision.of(2, 16)), 1_000);
    keeper.onTick(1_000 + StateKeeper.UNCONFIRMED_TTL_MS - 1);
    assertThat(keeper.state().target("a").phase()).isEqualTo(TargetPhase.READY);
    keeper.onTick(1_000 + StateKeeper.UNCONFIRMED_TTL_MS);
    assertThat(keeper.state().target("a").phase()).isEqualTo(TargetPhase.GONE);
  }

  @Test
  void unconfirmedTargetIsGoneAlsoIfTheLaterEraCameFromAPeer() {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    long known = Revision.of(1, 18);
    keeper.replaceBy(stateAt(known, target("a", 2), target("b", 3)), 0);
    keeper.merge(stateAt(Revision.of(2, 16), target("b", Revision.of(2, 3))), known, 1_000);
    keeper.onTick(1_000 + StateKeeper.UNCONFIRMED_TTL_MS);
    assertThat(keeper.state().target("a").phase()).isEqualTo(TargetPhase.GONE);
    assertThat(keeper.state().target("b").phase()).isEqualTo(TargetPhase.READY);
  }

  @Test
  void targetThatIsNoLongerListedIsGoneAndEvictedLater() {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(3, target("a", 2)), 0);

    keeper.replaceBy(stateAt(5), 1_000);
    assertThat(keeper.state().target("a").phase()).isEqualTo(TargetPhase.GONE);

    keeper.replaceBy(stateAt(6), 1_000 + GONE_TARGET_RETENTION_MS + 1);
    assertThat(keeper.state().target("a")).isNull();
  }

  @Test
  void targetThatWasListedAgainIsKeptForTheFullRetentionPeriodWhenItIsGoneAgain() {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(3, target("a", 2)), 0);
    keeper.replaceBy(stateAt(5), 1_000);
    keeper.replaceBy(stateAt(7, target("a", 6)), 2_000);

    keeper.replaceBy(stateAt(9), 2_000 + GONE_TARGET_RETENTION_MS);
    assertThat(keeper.state().target("a").phase()).isEqualTo(TargetPhase.GONE);
  }

  private static FleetState stateWithRoute(long version, String... services) {
    List<WeightedService> weighted = new ArrayList<>();
    for (String service : services) {
      weighted.add(new WeightedService(service, 1));
    }
    ForwardingRoute route = new ForwardingRoute(1, 443, 0, true, weighted);
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
  void formerServiceOfARouteIsKeptForTheRetentionPeriod() {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateWithRoute(1, "a"), 0);
    keeper.replaceBy(stateWithRoute(2, "b"), 1_000);
    keeper.replaceBy(stateWithRoute(3, "c"), 2_000);
    WeightedService current = new WeightedService("c", 1);
    WeightedService previous = new WeightedService("b", 0);

    keeper.replaceBy(stateWithRoute(3, "c"), 1_000 + GONE_TARGET_RETENTION_MS);
    assertThat(servicesIn(keeper.state()))
        .containsExactly(current, previous, new WeightedService("a", 0));

    keeper.replaceBy(stateWithRoute(3, "c"), 1_000 + GONE_TARGET_RETENTION_MS + 1);
    assertThat(servicesIn(keeper.state())).containsExactly(current, previous);

    keeper.replaceBy(stateWithRoute(3, "c"), 2_000 + GONE_TARGET_RETENTION_MS + 1);
    assertThat(servicesIn(keeper.state())).containsExactly(current);
  }

  // Guards against a former service that never expires: each complete state of a peer that still
  // has it, or of a source that was restored to an older version, would start its retention again.
  @Test
  void formerServiceThatHasExpiredIsNotTakenAgainFromAnotherCopy() {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    FleetState older = stateWithRoute(1, "a");
    FleetState copyOfPeer = older.replaceBy(stateWithRoute(2, "b"));
    keeper.replaceBy(copyOfPeer, 0);
    long expiredAtMs = GONE_TARGET_RETENTION_MS + 1;
    keeper.replaceBy(stateWithRoute(2, "b"), expiredAtMs);
    WeightedService current = new WeightedService("b", 1);
    assertThat(servicesIn(keeper.state())).containsExactly(current);

    keeper.replaceBy(copyOfPeer, expiredAtMs + 1);
    assertThat(servicesIn(keeper.state())).containsExactly(current);
    keeper.replaceBy(older, expiredAtMs + 2);
    assertThat(servicesIn(keeper.state())).containsExactly(current);
  }

  // Guards against the loss of a service that got flows again after it had expired: this node may
  // have missed the version in which the service had weight.
  @Test
  void formerServiceThatHasExpiredIsTakenAgainUnderALaterVersion() {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateWithRoute(1, "a"), 0);
    keeper.replaceBy(stateWithRoute(2, "b"), 0);
    long expiredAtMs = GONE_TARGET_RETENTION_MS + 1;
    keeper.replaceBy(stateWithRoute(2, "b"), expiredAtMs);

    keeper.replaceBy(stateWithRoute(4, "b"), expiredAtMs + 1);
    keeper.replaceBy(stateWithRoute(3, "a"), expiredAtMs + 2);
    assertThat(servicesIn(keeper.state()))
        .containsExactly(new WeightedService("b", 1), new WeightedService("a", 0));
  }

  @Test
  void retentionPeriodOfAServiceStartsAgainWhenARouteLosesItAgain() {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateWithRoute(1, "a"), 0);
    keeper.replaceBy(stateWithRoute(2, "b"), 1_000);
    keeper.replaceBy(stateWithRoute(3, "a", "b"), 2_000);
    keeper.replaceBy(stateWithRoute(4, "b"), 3_000);

    keeper.replaceBy(stateWithRoute(4, "b"), 3_000 + GONE_TARGET_RETENTION_MS);
    assertThat(servicesIn(keeper.state())).contains(new WeightedService("a", 0));
  }

  @Test
  void listingOfATargetAtItsStartIsKnownToPeersAndAfterFurtherChanges()
      throws StateSourceException {
    StateKeeper keeper = keeperAt(stateAt(3, target("a", 1).asCreatedAtStart()));
    keeper.apply(written(5, target("a", 5)), 0);
    TargetRecord atPeer = FleetStateCodec.decode(keeper.encoded()).state().target("a");
    assertThat(atPeer.isListedFirstAfter(0)).isTrue();
    assertThat(atPeer.isListedFirstAfter(1)).isFalse();
  }

  @Test
  void targetThatIsListedAgainIsNotKnownToHaveStartedThen() {
    StateKeeper keeper = keeperAt(stateAt(3, target("a", 1).asCreatedAtStart()));
    TargetRecord listedAgain = new TargetRecord("a", "s", 1, "z", 5, TargetPhase.READY, 0, 5, 5);
    keeper.apply(written(5, listedAgain), 0);
    assertThat(keeper.state().target("a").isListedFirstAfter(0)).isFalse();
  }

  // ---- whether all former services are known ----

  private static FleetState firstWithRoute(long version, String service) {
    FleetState first = stateWithRoute(version, service);
    return first.with(first.configuration().withAllFormerServices());
  }

  private static boolean hasAllFormerServices(StateKeeper keeper) {
    return keeper.state().configuration().hasAllFormerServices();
  }

  private static StateChanges changedTo(FleetState state) {
    return new StateChanges(
        state.revision(), List.of(), Map.of(), state.configuration(), List.of());
  }

  @Test
  void allFormerServicesAreKnownOfVersionsThatFollowTheFirstOneWithoutAGap() {
    StateKeeper keeper = keeperAt(firstWithRoute(1, "a"));
    keeper.apply(changedTo(stateWithRoute(4, "b")), 0);
    keeper.apply(changedTo(stateWithRoute(9, "c")), 0);
    assertThat(hasAllFormerServices(keeper)).isTrue();
    assertThat(servicesIn(keeper.state()))
        .containsExactly(
            new WeightedService("c", 1), new WeightedService("b", 0), new WeightedService("a", 0));
  }

  // Guards against the reset of an open flow of a service that the route had in a version between
  // two complete states of the source.
  @Test
  void formerServicesMayBeMissingAfterACompleteStateOfALaterVersion() {
    StateKeeper keeper = keeperAt(firstWithRoute(1, "a"), stateWithRoute(9, "c"));
    assertThat(hasAllFormerServices(keeper)).isFalse();
  }

  @Test
  void completeStateOfTheSameVersionKeepsWhatIsKnownOfFormerServices() {
    StateKeeper keeper = keeperAt(firstWithRoute(1, "a"), stateWithRoute(1, "a"));
    assertThat(hasAllFormerServices(keeper)).isTrue();
  }

  @Test
  void allFormerServicesAreKnownOnceTheRetentionPeriodHasPassedSinceTheFirstVersionRead() {
    StateKeeper keeper = keeperAt();
    keeper.replaceBy(stateWithRoute(4, "a"), 1_000);
    keeper.onTick(1_000 + GONE_TARGET_RETENTION_MS - 1);
    assertThat(hasAllFormerServices(keeper)).isFalse();
    keeper.onTick(1_000 + GONE_TARGET_RETENTION_MS);
    assertThat(hasAllFormerServices(keeper)).isTrue();

    keeper.replaceBy(stateWithRoute(6, "b"), 200_000);
    assertThat(hasAllFormerServices(keeper)).isFalse();
    keeper.replaceBy(stateWithRoute(6, "b"), 200_000 + GONE_TARGET_RETENTION_MS);
    assertThat(hasAllFormerServices(keeper)).isTrue();
  }

  @Test
  void nodeThatStartsReceivesFromAPeerThatAllFormerServicesAreKnown() throws StateSourceException {
    StateKeeper peer = keeperAt(firstWithRoute(1, "a"));
    peer.apply(changedTo(stateWithRoute(4, "b")), 0);
    StateKeeper node = keeperAt(stateWithRoute(4, "b"));
    assertThat(hasAllFormerServices(node)).isFalse();

    node.merge(FleetStateCodec.decode(peer.encoded()).state().configuration(), 0);
    assertThat(hasAllFormerServices(node)).isTrue();
  }

  @Test
  void olderCopyOfAPeerDoesNotShowThatAllFormerServicesAreKnown() throws StateSourceException {
    StateKeeper peer = keeperAt(firstWithRoute(1, "a"));
    StateKeeper node = keeperAt(stateWithRoute(4, "c"));
    node.merge(FleetStateCodec.decode(peer.encoded()).state().configuration(), 0);
    assertThat(hasAllFormerServices(node)).isFalse();
  }

  @Test
  void peerThatStartsReceivesTheFormerServicesOfRoutes() throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateWithRoute(1, "a"), 0);
    keeper.replaceBy(stateWithRoute(2, "b"), 1_000);

    FleetState received = FleetStateCodec.decode(keeper.encodedSince(0, 0)).state();
    assertThat(servicesIn(received))
        .containsExactly(new WeightedService("b", 1), new WeightedService("a", 0));
  }

  @Test
  void olderStateOfAPeerChangesNothing() {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(9, target("new", 8)), 0);

    keeper.merge(stateAt(4, target("old", 4)), 9, 10);

    assertThat(keeper.state().revision()).isEqualTo(9);
    assertThat(keeper.state().target("old")).isNull();
  }

  @Test
  void peerThatIsBehindGetsOnlyTheChanges() throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(3, target("a", 2)), 0);
    keeper.replaceBy(stateAt(5, target("a", 2), target("b", 4)), 0);

    FleetStateCodec.PeerState response = FleetStateCodec.decode(keeper.encodedSince(3, 1));
    assertThat(response.complete()).isFalse();
    assertThat(response.state().revision()).isEqualTo(5);
    assertThat(response.state().targets()).containsExactly(target("b", 4));
    assertThat(response.state().configuration().version()).isEqualTo(0);
    FleetState merged = stateAt(3, target("a", 2)).merge(response.state());
    assertThat(merged.targets()).containsExactly(target("a", 2), target("b", 4));
    assertThat(merged.configuration().version()).isEqualTo(1);
  }

  // Changes do not contain evicted records: a peer that still lists such a target would keep it
  // forever.
  @Test
  void peerThatIsBehindAnEvictedRecordGetsTheCompleteState() throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(3, target("a", 2)), 0);
    keeper.replaceBy(stateAt(5), 1_000);
    keeper.replaceBy(stateAt(6), 1_000 + GONE_TARGET_RETENTION_MS + 1);

    assertThat(FleetStateCodec.decode(keeper.encodedSince(3, 1)).complete()).isTrue();
    assertThat(FleetStateCodec.decode(keeper.encodedSince(5, 1)).complete()).isFalse();
    assertThat(FleetStateCodec.decode(keeper.encodedSince(0, 0)).complete()).isTrue();
  }

  // A node that starts with a complete state has no record of a target that was gone by then, so
  // its changes do not contain that target, and a peer would keep it as ready forever.
  @Test
  void peerThatListsATargetGoneBeforeTheFirstReadGetsTheCompleteState()
      throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(9, target("b", 4)), 0);
    keeper.apply(new StateChanges(11, List.of(), Map.of(), null, List.of()), 0);

    FleetStateCodec.PeerState response = FleetStateCodec.decode(keeper.encodedSince(7, 1));
    assertThat(response.complete()).isTrue();
    FleetState behind = stateAt(7, target("a", 2), target("b", 4));
    assertThat(behind.replaceBy(response.state()).target("a").phase()).isEqualTo(TargetPhase.GONE);
    assertThat(FleetStateCodec.decode(keeper.encodedSince(9, 1)).complete()).isFalse();
  }

  @Test
  void evacuationLiftedBeforeTheFirstReadIsNotKeptByAPeer() throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    keeper.replaceBy(stateAt(9), 0);
    ZoneEvacuation set = new ZoneEvacuation("z", true, 5);
    FleetState behind =
        stateAt(6).apply(new StateChanges(6, List.of(), Map.of(), null, List.of(set)));
    assertThat(behind.evacuations().isInForce("z")).isTrue();

    FleetStateCodec.PeerState response = FleetStateCodec.decode(keeper.encodedSince(6, 1));
    assertThat(behind.replaceBy(response.state()).evacuations().isInForce("z")).isFalse();
  }

  @Test
  void evacuationIsSentToPeersWithItsRevision() throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
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

  private static StateKeeper keeperAt(FleetState... completeStates) {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    for (FleetState complete : completeStates) {
      keeper.replaceBy(complete, 0);
    }
    return keeper;
  }

  private static StateChanges written(long revision, TargetRecord... targets) {
    return new StateChanges(revision, List.of(targets), Map.of(), null, List.of());
  }

  /** Updates a node with a peer's response to a query that the node sent at a revision. */
  private static void applyResponse(StateKeeper node, byte[] encoded, long queryRevision)
      throws StateSourceException {
    FleetStateCodec.PeerState response = FleetStateCodec.decode(encoded);
    if (response.complete()) {
      node.replaceBy(response.state(), 0);
    } else {
      node.merge(response.state(), queryRevision, 0);
    }
  }

  private static boolean isListed(StateKeeper node, String id) {
    TargetRecord record = node.state().target(id);
    return record != null && record.phase() != TargetPhase.GONE;
  }

  // The target is listed at revision 1, its entry expires at 2, it is listed again at 3 and ends at
  // 4. The peer has no state of revision 3, so it does not see the second listing.
  @Test
  void targetThatAPeerReportsAsGoneIsGoneThoughItWasListedAgainInBetween()
      throws StateSourceException {
    StateKeeper peer = keeperAt(stateAt(1, target("a", 1)), stateAt(2), stateAt(4));
    StateKeeper node = keeperAt(stateAt(3, target("a", 3)));

    applyResponse(node, peer.encodedSince(3, 1), 3);

    assertThat(node.state().revision()).isEqualTo(4);
    assertThat(isListed(node, "a")).isFalse();
  }

  // The target is listed at revision 2 and ends at 3. The first node has read the states at 1 and 3
  // only, so it has no record of the target.
  @Test
  void nodeThatMergedChangesAcrossAGapOfItsPeerReturnsTheCompleteStateInThatGap()
      throws StateSourceException {
    StateKeeper first = keeperAt(stateAt(1), stateAt(3));
    StateKeeper second = keeperAt(stateAt(1));
    applyResponse(second, first.encodedSince(1, 1), 1);
    StateKeeper third = keeperAt(stateAt(2, target("a", 2)));

    applyResponse(third, second.encodedSince(2, 1), 2);

    assertThat(third.state().revision()).isEqualTo(3);
    assertThat(isListed(third, "a")).isFalse();
  }

  // The target is listed at revision 2 and ends at 3. The node receives the listing while its query
  // from revision 1 is in flight.
  @Test
  void changesOfAPeerThatArriveAfterTheNodeWasUpdatedLeaveNoEndedTarget()
      throws StateSourceException {
    StateKeeper peer = keeperAt(stateAt(1), stateAt(3));
    StateKeeper node = keeperAt(stateAt(1));
    byte[] lateResponse = peer.encodedSince(1, 1);
    node.apply(written(2, target("a", 2)), 0);

    applyResponse(node, lateResponse, 1);
    assertThat(node.state().revision()).isEqualTo(2);

    applyResponse(node, peer.encodedSince(2, 1), 2);
    assertThat(node.state().revision()).isEqualTo(3);
    assertThat(isListed(node, "a")).isFalse();
  }

  @Test
  void changesOfAPeerSinceTheRevisionOfTheNodeAreMerged() throws StateSourceException {
    StateKeeper peer = keeperAt(stateAt(1));
    peer.apply(written(2, target("a", 2)), 0);
    StateKeeper node = keeperAt(stateAt(1));

    applyResponse(node, peer.encodedSince(1, 1), 1);

    assertThat(node.state().revision()).isEqualTo(2);
    assertThat(isListed(node, "a")).isTrue();
  }

  @Test
  void encodedStateIsTheNewestState() throws StateSourceException {
    StateKeeper keeper = new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {});
    assertThat(keeper.encoded()).isNull();

    keeper.replaceBy(stateAt(3, target("a", 2)), 0);
    keeper.replaceBy(stateAt(5, target("a", 2), target("b", 4)), 0);

    FleetState read = FleetStateCodec.decode(keeper.encoded()).state();
    assertThat(read.revision()).isEqualTo(5);
    assertThat(read.targets()).containsExactly(target("a", 2), target("b", 4));
  }

  // Guards against entries that expire at once: the source was restored a second time while the
  // tick
  // that found their time to have passed waited for the keeper's lock.
  @Test
  void secondRestoreAtTheTimeOfTheExpiryExtendsIt() throws InterruptedException {
    long expiryMs = 1_000 + StateKeeper.UNCONFIRMED_TTL_MS;
    AtomicReference<StateKeeper> keeper = new AtomicReference<>();
    AtomicReference<Thread> tick = new AtomicReference<>();
    StateKeeper.Listener listener =
        (before, after, nowMs) -> {
          if (nowMs == expiryMs - 1) {
            Thread thread = new Thread(() -> keeper.get().onTick(expiryMs));
            tick.set(thread);
            thread.start();
            while (thread.getState() != Thread.State.BLOCKED) {
              Thread.onSpinWait();
            }
            keeper.get().replaceBy(stateAt(Revision.of(3, 1)), expiryMs);
          }
        };
    keeper.set(new StateKeeper(GONE_TARGET_RETENTION_MS, listener));
    keeper.get().replaceBy(stateAt(Revision.of(1, 18), target("a", Revision.of(1, 17))), 0);
    keeper.get().replaceBy(stateAt(Revision.of(2, 16)), 1_000);
    keeper.get().replaceBy(stateAt(Revision.of(2, 17)), expiryMs - 1);
    tick.get().join();

    assertThat(keeper.get().state().target("a").phase()).isEqualTo(TargetPhase.READY);
    keeper.get().onTick(expiryMs + StateKeeper.UNCONFIRMED_TTL_MS);
    assertThat(keeper.get().state().target("a").phase()).isEqualTo(TargetPhase.GONE);
  }
}
