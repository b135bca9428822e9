package io.moorstage.core.state;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.placement.TargetPools;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FleetStateTest {
  private static final TargetRecord READY = Fleet.target(1, TargetPhase.READY, 3);

  @Test
  void targetThatACompleteStateDoesNotListIsGone() {
    FleetState state = Fleet.state(5, READY).replaceBy(Fleet.state(7));
    assertThat(state.target(READY.id()).phase()).isEqualTo(TargetPhase.GONE);
  }

  @Test
  void olderCompleteStateUndoesNothing() {
    FleetState state = Fleet.state(5, 4, READY).replaceBy(Fleet.state(2, 3));
    assertThat(state.target(READY.id()).phase()).isEqualTo(TargetPhase.READY);
    assertThat(state.configuration().version()).isEqualTo(4);
    assertThat(state.revision()).isEqualTo(5);
  }

  @Test
  void targetThatIsWrittenAndRemovedInOneResponseIsGone() {
    StateChanges changes =
        new StateChanges(
            9, List.of(Fleet.target(2, TargetPhase.READY, 8)), Map.of("t2", 9L), null, List.of());
    FleetState state = Fleet.state(5, READY).apply(changes);
    assertThat(state.target("t2").phase()).isEqualTo(TargetPhase.GONE);
    assertThat(state.target(READY.id()).phase()).isEqualTo(TargetPhase.READY);
  }

  @Test
  void changesThatAreReportedAgainHaveNoEffect() {
    StateChanges draining =
        new StateChanges(
            6, List.of(Fleet.target(1, TargetPhase.DRAINING, 6)), Map.of(), null, List.of());
    StateChanges repeated = new StateChanges(6, List.of(READY), Map.of(), null, List.of());
    FleetState state = Fleet.state(5, READY).apply(draining).apply(repeated);
    assertThat(state.target(READY.id()).phase()).isEqualTo(TargetPhase.DRAINING);
  }

  // The entry of a target that was killed expires only after its successor has been listed.
  @Test
  void targetIsNotHiddenWhenTheEntryOfItsPredecessorExpiresLater() {
    TargetRecord predecessor = Fleet.listed("before", Fleet.SERVICE, 1, 3);
    TargetRecord now = Fleet.listed("now", Fleet.SERVICE, 1, 6);
    StateChanges expiry = new StateChanges(8, List.of(), Map.of("before", 8L), null, List.of());
    FleetState state = Fleet.state(7, predecessor, now).apply(expiry);
    assertThat(state.targetsByAddress()).containsExactly(1, now);
  }

  @Test
  void targetStillReplacesItsPredecessorWhenItIsDraining() {
    TargetRecord predecessor = Fleet.listed("before", Fleet.SERVICE, 1, 3);
    TargetRecord draining =
        new TargetRecord("now", Fleet.SERVICE, 1, "z", 2, TargetPhase.DRAINING, 0, 6, 9);
    assertThat(Fleet.state(9, predecessor, draining).targetsByAddress())
        .containsExactly(1, draining);
  }

  @Test
  void addressBelongsToTheServiceOfTheTargetThatWasListedThereLast() {
    TargetRecord predecessor = Fleet.listed("before", Fleet.SERVICE, 1, 3);
    TargetRecord now = Fleet.listed("now", "bundles", 1, 6);
    TargetPools pools =
        TargetPools.empty(Fleet.POLICY, Fleet.ZONE).update(Fleet.state(7, predecessor, now), 0);
    assertThat(pools.ofService(Fleet.SERVICE)).isNull();
    assertThat(pools.ofService("bundles").at(1).record()).isEqualTo(now);
  }

  private static FleetState stateNaming(List<String> services, TargetRecord... targets) {
    Map<String, ColdStart> named = new HashMap<>();
    services.forEach(service -> named.put(service, ColdStart.UNLIMITED));
    ForwardingConfiguration configuration =
        new ForwardingConfiguration(1, 60_000, List.of(Fleet.routeTo(Fleet.SERVICE)), named);
    return FleetState.of(7, configuration, List.of(targets), Evacuations.NONE);
  }

  // Guards against targets out of use: an entry of another writer that was listed later counted as
  // the target at its address, whatever its service.
  @Test
  void entryOfAServiceThatTheConfigurationDoesNotNameHidesNoTarget() {
    TargetRecord target = Fleet.listed("target", Fleet.SERVICE, 1, 3);
    TargetRecord foreign = Fleet.listed("foreign", "inventory", 1, 6);
    TargetRecord other = Fleet.listed("other", "inventory", 2, 6);
    assertThat(stateNaming(List.of(), target, foreign, other).targetsByAddress())
        .containsExactly(1, target, 2, other);
    assertThat(stateNaming(List.of("inventory"), target, foreign, other).targetsByAddress())
        .containsExactly(1, foreign, 2, other);
  }

  // Its targets may hold open flows.
  @Test
  void targetOfAFormerServiceOfARouteIsNotHiddenEither() {
    TargetRecord target = Fleet.listed("target", "chairs", 1, 3);
    TargetRecord foreign = Fleet.listed("foreign", "inventory", 1, 6);
    ForwardingConfiguration before =
        new ForwardingConfiguration(1, 60_000, List.of(Fleet.routeTo("chairs")), Map.of());
    FleetState state = stateNaming(List.of(), target, foreign);
    assertThat(state.with(state.configuration().merge(before)).targetsByAddress())
        .containsExactly(1, target);
  }

  @Test
  void targetThatIsListedAgainAfterItsEntryExpiredIsReady() {
    TargetRecord first = Fleet.listed("t", Fleet.SERVICE, 1, 3);
    TargetRecord listedAgain = Fleet.listed("t", Fleet.SERVICE, 1, 9);
    FleetState expired = Fleet.state(7, first).replaceBy(Fleet.state(8));
    FleetState state =
        expired.apply(new StateChanges(9, List.of(listedAgain), Map.of(), null, List.of()));
    assertThat(state.targetsByAddress()).containsExactly(1, listedAgain);
  }

  // Listed at 1, expired at 2, listed again at 3, ended at 4. The other state was complete at 1, 2
  // and 4, so it holds the target as gone at 2.
  @Test
  void targetThatACompleteStateHoldsAsGoneIsGone() {
    FleetState other =
        Fleet.state(1, Fleet.listed("t", Fleet.SERVICE, 1, 1))
            .replaceBy(Fleet.state(2))
            .replaceBy(Fleet.state(4));
    FleetState own = Fleet.state(3, Fleet.listed("t", Fleet.SERVICE, 1, 3));
    TargetRecord known = own.replaceBy(other).target("t");
    assertThat(known.phase()).isEqualTo(TargetPhase.GONE);
    assertThat(known.revision()).isEqualTo(4);
  }

  @Test
  void targetThatIsListedAgainWhileACompleteStateIsReadStaysListed() {
    TargetRecord listedAgain = Fleet.listed("t", Fleet.SERVICE, 1, 6);
    FleetState gone =
        Fleet.state(2, Fleet.listed("t", Fleet.SERVICE, 1, 1)).replaceBy(Fleet.state(4));
    // The source is read in pages, which are not a consistent snapshot: later pages may hold
    // changes above the revision of the complete state.
    FleetState own = Fleet.state(4, listedAgain);
    assertThat(own.replaceBy(gone).target("t")).isEqualTo(listedAgain);
    assertThat(own.replaceBy(Fleet.state(5)).target("t")).isEqualTo(listedAgain);
    assertThat(gone.replaceBy(own).target("t")).isEqualTo(listedAgain);
  }

  @Test
  void goneTargetHasTheRevisionThatTheCompleteStateHoldsForIt() {
    FleetState own = Fleet.state(3, Fleet.listed("t", Fleet.SERVICE, 1, 1));
    FleetState other = own.replaceBy(Fleet.state(4)).replaceBy(Fleet.state(7));
    assertThat(own.replaceBy(other).target("t")).isEqualTo(other.target("t"));
  }

  private static ZoneEvacuation evacuation(boolean inForce, long revision) {
    return new ZoneEvacuation("z", inForce, revision);
  }

  private static FleetState evacuationsAt(long revision, ZoneEvacuation... evacuations) {
    return FleetState.of(
        revision, ForwardingConfiguration.NONE, List.of(), Evacuations.of(List.of(evacuations)));
  }

  // Set at 1, lifted at 2, set at 3, lifted at 4. The other state was complete at 1, 2 and 4.
  @Test
  void evacuationThatACompleteStateHoldsAsLiftedIsLifted() {
    FleetState other =
        evacuationsAt(1, evacuation(true, 1))
            .replaceBy(evacuationsAt(2))
            .replaceBy(evacuationsAt(4));
    FleetState own = evacuationsAt(3, evacuation(true, 3));
    assertThat(own.replaceBy(other).evacuations().all()).containsExactly(evacuation(false, 4));
  }

  private static FleetState routedState(long version, WeightedService... services) {
    return Fleet.state(version, version, List.of(Fleet.routeTo(services)), List.of());
  }

  private static List<WeightedService> servicesOfOnlyRoute(FleetState state) {
    return state.configuration().routes().get(0).services();
  }

  // Open flows of the former service stay there, and a node without a record of them has to find
  // them.
  @Test
  void formerServiceOfARouteStaysAtWeightZero() {
    FleetState moved =
        routedState(1, new WeightedService("a", 3))
            .replaceBy(routedState(2, new WeightedService("b", 0)));
    assertThat(servicesOfOnlyRoute(moved))
        .containsExactly(new WeightedService("b", 1), new WeightedService("a", 0))
        .inOrder();
    for (int port = 0; port < 100; port++) {
      ForwardingRoute route = moved.configuration().routes().get(0);
      assertThat(route.serviceOf(Fleet.flow(port))).isEqualTo("b");
    }
  }

  @Test
  void formerServiceThatIsConfiguredAgainGetsItsNewWeight() {
    FleetState state =
        routedState(1, new WeightedService("a", 3))
            .replaceBy(routedState(2, new WeightedService("b", 1)))
            .replaceBy(routedState(3, new WeightedService("a", 2)));
    assertThat(servicesOfOnlyRoute(state))
        .containsExactly(new WeightedService("a", 2), new WeightedService("b", 0));
  }

  @Test
  void routeWhoseServicesAllHaveWeightZeroStillGetsNoNewFlows() {
    FleetState state =
        routedState(1, new WeightedService("c", 1))
            .replaceBy(routedState(2, new WeightedService("a", 0), new WeightedService("b", 0)));
    assertThat(state.configuration().routes().get(0).serviceOf(Fleet.flow(1))).isNull();
  }

  @Test
  void formerServicesOfRoutesAreTakenFromPeers() {
    WeightedService b = new WeightedService("b", 1);
    FleetState peer = routedState(1, new WeightedService("a", 3)).replaceBy(routedState(2, b));
    List<WeightedService> known = List.of(b, new WeightedService("a", 0));
    assertThat(servicesOfOnlyRoute(FleetState.EMPTY.merge(peer))).isEqualTo(known);
    assertThat(servicesOfOnlyRoute(FleetState.EMPTY.merge(peer).replaceBy(routedState(2, b))))
        .isEqualTo(known);
    assertThat(servicesOfOnlyRoute(routedState(2, b).merge(peer))).isEqualTo(known);
  }

  // Guards against the reset of an open flow: a node that has just started may read the newer
  // configuration from the source before it gets an older copy from a peer, and then has to know
  // the service at which the flow was opened.
  @Test
  void servicesOfAnOlderConfigurationAreKeptAtWeightZeroInWhicheverOrderTheTwoArrive() {
    WeightedService b = new WeightedService("b", 1);
    List<WeightedService> expected =
        List.of(b, new WeightedService("a", 0), new WeightedService("z", 0));
    FleetState older =
        routedState(1, new WeightedService("z", 1))
            .replaceBy(routedState(2, new WeightedService("a", 3)));
    FleetState newer = routedState(3, b);
    assertThat(servicesOfOnlyRoute(older.merge(newer))).isEqualTo(expected);
    assertThat(servicesOfOnlyRoute(newer.merge(older))).isEqualTo(expected);
    assertThat(servicesOfOnlyRoute(newer.replaceBy(older))).isEqualTo(expected);
    assertThat(newer.merge(older).configuration().version()).isEqualTo(3);
  }

  @Test
  void configurationOfALowerVersionIsNeverTaken() {
    StateChanges older =
        new StateChanges(9, List.of(), Map.of(), Fleet.state(9, 2).configuration(), List.of());
    assertThat(Fleet.state(5, 3).apply(older).configuration().version()).isEqualTo(3);
  }

  @Test
  void newFlowsFollowTheWeightsOfARoute() {
    ForwardingRoute route =
        new ForwardingRoute(
            1, 443, 3_000, true, List.of(new WeightedService("a", 3), new WeightedService("b", 1)));
    int toA = 0;
    for (int port = 1; port <= 4_000; port++) {
      toA += "a".equals(route.serviceOf(Fleet.flow(port))) ? 1 : 0;
    }
    assertThat(toA).isAtLeast(2_850);
    assertThat(toA).isAtMost(3_150);
  }

  @Test
  void changesOfOneResponseAreAllTakenInAnyOrder() {
    TargetRecord first = Fleet.listed("a", Fleet.SERVICE, 1, 6);
    TargetRecord together = Fleet.listed("b", Fleet.SERVICE, 2, 6);
    TargetRecord later = Fleet.target(1, TargetPhase.DRAINING, 8);
    TargetRecord earlier = Fleet.target(1, TargetPhase.READY, 7);
    FleetState state = Fleet.state(5).apply(written(8, first, together, later, earlier));
    assertThat(state.targets()).containsExactly(first, together, later);
  }

  // Entries expire while the store is unavailable. A response that reports the expiry may also hold
  // the entry that the target has written again.
  @Test
  void targetThatExpiresAndIsWrittenAgainInOneResponseIsListed() {
    TargetRecord initial = Fleet.listed("t", Fleet.SERVICE, 1, 3);
    TargetRecord listedAgain = Fleet.listed("t", Fleet.SERVICE, 1, 7);
    StateChanges response =
        new StateChanges(7, List.of(listedAgain), Map.of("t", 6L), null, List.of());
    assertThat(Fleet.state(5, initial).apply(response).target("t")).isEqualTo(listedAgain);
    // The node may already have the expiry from a peer.
    FleetState expired = Fleet.state(5, initial).replaceBy(Fleet.state(6));
    assertThat(expired.apply(response).target("t")).isEqualTo(listedAgain);
  }

  private static StateChanges written(long revision, TargetRecord... targets) {
    return new StateChanges(revision, List.of(targets), Map.of(), null, List.of());
  }
}
