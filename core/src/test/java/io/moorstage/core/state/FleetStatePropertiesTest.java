package io.moorstage.core.state;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.moorstage.core.Fleet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Checks that nodes which receive the same history of the source by complete states, by changes or
 * from peers agree on its targets and evacuations.
 */
class FleetStatePropertiesTest {
  private static final int ADDRESSES = 3;
  private static final int STEPS = 40;
  private static final int NODES = 3;
  private static final String[] ZONES = {"lac", "ariana"};
  private static final String[] SERVICES = {"tables", "bundles"};

  /**
   * The entries of a source and their changes. Targets start, drain, end without removing their
   * entry, expire and are listed again.
   */
  private static final class History {
    private final Map<String, TargetRecord> listed = new HashMap<>();
    private final Map<Integer, String> runningByAddress = new HashMap<>();
    private final Map<String, Long> evacuated = new HashMap<>();
    private final List<StateChanges> changes = new ArrayList<>();
    private long revision;
    private int startCount;

    void step(Random random) {
      if (random.nextInt(5) == 0) {
        toggleEvacuation(ZONES[random.nextInt(ZONES.length)]);
        return;
      }
      changeTarget(random);
    }

    private void toggleEvacuation(String zone) {
      revision++;
      boolean isLifted = evacuated.remove(zone) != null;
      if (!isLifted) {
        evacuated.put(zone, revision);
      }
      ZoneEvacuation change = new ZoneEvacuation(zone, !isLifted, revision);
      changes.add(new StateChanges(revision, List.of(), Map.of(), null, List.of(change)));
    }

    private void changeTarget(Random random) {
      int address = random.nextInt(ADDRESSES);
      String running = runningByAddress.get(address);
      if (running == null || random.nextInt(4) == 0) {
        // The previous target may have ended without removing its entry, which stays until it
        // expires.
        String id = "t" + startCount++;
        runningByAddress.put(address, id);
        String service = SERVICES[random.nextInt(SERVICES.length)];
        write(Fleet.listed(id, service, address, revision + 1));
        return;
      }
      switch (random.nextInt(5)) {
        case 0:
          expireEndedTarget(address, running);
          break;
        case 1:
          remove(running);
          break;
        case 2:
          drain(running);
          break;
        default:
          listAgain(running, address);
      }
    }

    private void write(TargetRecord record) {
      revision++;
      listed.put(record.id(), record);
      changes.add(new StateChanges(revision, List.of(record), Map.of(), null, List.of()));
    }

    private void remove(String id) {
      if (listed.remove(id) != null) {
        revision++;
        changes.add(new StateChanges(revision, List.of(), Map.of(id, revision), null, List.of()));
      }
    }

    private void expireEndedTarget(int address, String running) {
      for (TargetRecord record : List.copyOf(listed.values())) {
        if (record.address() == address && !record.id().equals(running)) {
          remove(record.id());
          return;
        }
      }
    }

    private void drain(String id) {
      TargetRecord known = listed.get(id);
      if (known != null) {
        write(
            new TargetRecord(
                id,
                known.service(),
                known.address(),
                "z",
                2,
                TargetPhase.DRAINING,
                0,
                known.createdRevision(),
                revision + 1));
      }
    }

    private void listAgain(String id, int address) {
      if (!listed.containsKey(id)) {
        write(Fleet.listed(id, Fleet.SERVICE, address, revision + 1));
      }
    }

    FleetState completeState() {
      List<ZoneEvacuation> inForce = new ArrayList<>();
      evacuated.forEach((zone, setAt) -> inForce.add(new ZoneEvacuation(zone, true, setAt)));
      return FleetState.of(
          revision, ForwardingConfiguration.NONE, listed.values(), Evacuations.of(inForce));
    }

    List<StateChanges> after(long knownRevision) {
      return changes.subList((int) knownRevision, changes.size());
    }
  }

  private static FleetState update(
      FleetState own, History history, FleetState peer, Random random) {
    FleetState newer = own;
    switch (random.nextInt(5)) {
      case 0:
        return newer.replaceBy(history.completeState());
      case 1:
        return newer.merge(peer);
      case 2:
        // The state of a peer is complete up to its revision, as one read from the source is.
        return newer.replaceBy(peer);
      case 3:
        long version = newer.configuration().version();
        return newer.revision() == 0 ? newer : newer.merge(peer.since(newer.revision(), version));
      default:
        for (StateChanges changes : history.after(newer.revision())) {
          newer = newer.apply(changes);
        }
        return newer;
    }
  }

  @Property(seed = "20261202", tries = 500)
  void runningListedTargetIsNeverHiddenHoweverANodeIsUpdated(@ForAll long seed) {
    Random random = new Random(seed);
    History history = new History();
    List<FleetState> nodes = new ArrayList<>();
    for (int node = 0; node < NODES; node++) {
      nodes.add(FleetState.EMPTY);
    }
    for (int step = 0; step < STEPS; step++) {
      history.step(random);
      int node = random.nextInt(NODES);
      FleetState peer = nodes.get(random.nextInt(NODES));
      FleetState before = nodes.get(node);
      FleetState after = update(before, history, peer, random);
      assertThat(after.revision()).isAtLeast(before.revision());
      nodes.set(node, after);
      assertShowsRunningTargets(history, after);
    }
  }

  private static void assertShowsRunningTargets(History history, FleetState state) {
    if (state.revision() < history.revision) {
      return;
    }
    for (String id : history.runningByAddress.values()) {
      TargetRecord listed = history.listed.get(id);
      if (listed != null) {
        assertWithMessage("at %s", listed.address())
            .that(state.targetsByAddress().get(listed.address()))
            .isEqualTo(listed);
      }
    }
  }

  @Property(seed = "20261202", tries = 500)
  void nodesAtTheNewestRevisionShowTheSameRunningTargets(@ForAll long seed) {
    Random random = new Random(seed);
    History history = new History();
    FleetState byChanges = FleetState.EMPTY;
    FleetState mixed = FleetState.EMPTY;
    for (int step = 0; step < STEPS; step++) {
      history.step(random);
      for (StateChanges changes : history.after(byChanges.revision())) {
        byChanges = byChanges.apply(changes);
      }
      if (random.nextInt(3) == 0) {
        mixed = update(mixed, history, byChanges, random);
      }
    }
    mixed = mixed.replaceBy(history.completeState());
    assertShowsRunningTargets(history, mixed);
    assertShowsRunningTargets(history, byChanges);
    assertThat(mixed.evacuations().zones()).isEqualTo(history.evacuated.keySet());
    assertThat(byChanges.evacuations().zones()).isEqualTo(history.evacuated.keySet());
  }

  @Property(seed = "20261202", tries = 500)
  void nodeAtTheNewestRevisionHasTheEvacuatedZonesOfTheSource(@ForAll long seed) {
    Random random = new Random(seed);
    History history = new History();
    FleetState byChanges = FleetState.EMPTY;
    FleetState other = FleetState.EMPTY;
    for (int step = 0; step < STEPS; step++) {
      history.step(random);
      for (StateChanges changes : history.after(byChanges.revision())) {
        byChanges = byChanges.apply(changes);
      }
      FleetState stale = other;
      if (random.nextInt(3) == 0) {
        other =
            random.nextBoolean()
                ? other.merge(byChanges)
                : other.replaceBy(history.completeState());
      }
      assertHasEvacuations(history, other);
      // A stale state neither lifts an evacuation nor sets it again.
      assertHasEvacuations(history, byChanges.merge(stale));
      assertHasEvacuations(history, byChanges.replaceBy(stale));
    }
  }

  private static void assertHasEvacuations(History history, FleetState state) {
    if (state.revision() == history.revision) {
      assertThat(state.evacuations().zones()).isEqualTo(history.evacuated.keySet());
    }
  }

  // A complete state does not show a target that was added and removed since the previous one. An
  // ended target that was listed before it at the address then stays visible until its entry
  // expires. At addresses where no target was added in between, all nodes agree.
  @Property(seed = "20261202", tries = 500)
  void removedTargetIsGoneWhetherANodeIsUpdatedByChangesOrByPeers(@ForAll long seed) {
    Random random = new Random(seed);
    History history = new History();
    FleetState byChanges = FleetState.EMPTY;
    FleetState byPeer = FleetState.EMPTY;
    for (int step = 0; step < STEPS; step++) {
      history.step(random);
      for (StateChanges changes : history.after(byChanges.revision())) {
        byChanges = byChanges.apply(changes);
      }
      byPeer = random.nextInt(3) == 0 ? byPeer.merge(byChanges) : byPeer;
    }
    byPeer = byPeer.merge(byChanges);
    assertThat(listed(byPeer)).isEqualTo(listed(byChanges));
    assertThat(listed(byChanges)).isEqualTo(history.listed);
  }

  private static Map<String, TargetRecord> listed(FleetState state) {
    Map<String, TargetRecord> listed = new HashMap<>();
    for (TargetRecord record : state.targets()) {
      if (record.phase() != TargetPhase.GONE) {
        listed.put(record.id(), record);
      }
    }
    return listed;
  }
}
