package io.moorstage.forwarding.state;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.moorstage.core.state.Evacuations;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.Revision;
import io.moorstage.core.state.StateChanges;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Random histories of nodes that read the state from the source and from each other, in any order,
 * while the source is restored from older copies of itself and targets start again under their ids.
 * Guards against states that revert, and against ended targets that a node keeps listed.
 */
class SourceErasPropertiesTest {
  private static final int TARGETS = 3;
  private static final int NODES = 3;
  private static final int STEPS = 60;

  /** Longer than any history here, so that no record is evicted. */
  private static final int GONE_TARGET_RETENTION_MS = 1_000_000;

  /**
   * One step is shorter than the time after which unconfirmed entries expire, several are longer.
   */
  private static final int MAX_STEP_MS = 1_000;

  private static final long[] FORMERLY_FAILING_SEEDS = {
    265_843_076_961_163_314L, -1_740_404, 3_836_298_206_462_154_727L, 4_082_034, -1_577_355
  };

  /** The actual state of a target's process, whatever the source lists. */
  private static final class Process {
    private long startedAtMs;
    private boolean leaving;
    private boolean alive;
  }

  /** A simulated source with its targets and its latest copy. */
  private static final class SimulatedSource {
    private final Process[] processes = new Process[TARGETS];
    private final List<StateChanges> events = new ArrayList<>();
    private Map<String, TargetRecord> listed = new HashMap<>();
    private Map<String, TargetRecord> copied = new HashMap<>();
    private long copiedCount;
    private long clockMs = 1_000;
    private int era = 1;
    private long count = 1;

    SimulatedSource() {
      for (int target = 0; target < TARGETS; target++) {
        processes[target] = new Process();
      }
    }

    long revision() {
      return Revision.of(era, count);
    }

    void step(Random random) {
      clockMs += 1 + random.nextInt(MAX_STEP_MS);
      int target = random.nextInt(TARGETS);
      Process process = processes[target];
      switch (random.nextInt(10)) {
        case 0 -> copy();
        case 1 -> restore();
        case 2 -> expire(target);
        case 3 -> process.alive = false;
        case 4 -> {
          process.leaving = process.alive;
          write(target);
        }
        case 5 -> start(target);
        default -> write(target);
      }
    }

    private void start(int target) {
      Process process = processes[target];
      if (!process.alive) {
        process.startedAtMs = clockMs;
        process.leaving = false;
        process.alive = true;
        write(target);
      }
    }

    /** Writes the entry of a target that is alive. */
    void write(int target) {
      Process process = processes[target];
      if (!process.alive) {
        return;
      }
      String id = "t" + target;
      count++;
      TargetRecord known = listed.get(id);
      TargetPhase phase = process.leaving ? TargetPhase.DRAINING : TargetPhase.READY;
      long created = known == null ? revision() : known.createdRevision();
      TargetRecord record = record(id, process.startedAtMs, target, phase, created, revision());
      listed.put(id, record);
      events.add(new StateChanges(revision(), List.of(record), Map.of(), null, List.of()));
    }

    private static TargetRecord record(
        String id, long startedAtMs, int address, TargetPhase phase, long created, long revision) {
      return new TargetRecord(
          id, startedAtMs, "tables", address, "z", 2, phase, false, 0, created, false, revision);
    }

    private void expire(int target) {
      String id = "t" + target;
      if (!processes[target].alive && listed.remove(id) != null) {
        count++;
        events.add(
            new StateChanges(revision(), List.of(), Map.of(id, revision()), null, List.of()));
      }
    }

    private void copy() {
      copied = new HashMap<>(listed);
      copiedCount = count;
    }

    private void restore() {
      if (copiedCount == 0) {
        return;
      }
      era++;
      count = copiedCount;
      events.clear();
      listed = new HashMap<>();
      for (TargetRecord record : copied.values()) {
        long revision = Revision.of(era, Revision.count(record.revision()));
        long created = Revision.of(era, Revision.count(record.createdRevision()));
        listed.put(
            record.id(),
            record(
                record.id(),
                record.startedAtMs(),
                record.address(),
                record.phase(),
                created,
                revision));
      }
      copy();
    }

    /** Lets all targets that are alive write their entries, and those of the others expire. */
    void settle() {
      for (int target = 0; target < TARGETS; target++) {
        write(target);
        expire(target);
      }
    }

    FleetState completeState() {
      return FleetState.of(
          revision(), ForwardingConfiguration.NONE, listed.values(), Evacuations.NONE);
    }

    /** Returns the response to a watch after a revision, or null if the watch is rejected. */
    List<StateChanges> changesAfter(long known) {
      long oldest = events.isEmpty() ? revision() : events.get(0).revision() - 1;
      if (Revision.era(known) != era || known < oldest || known > revision()) {
        return null;
      }
      return events.stream().filter(change -> change.revision() > known).toList();
    }
  }

  /** Updates a node by a complete state or changes of the source, or from a peer. */
  private static void updateNode(
      StateKeeper own, SimulatedSource source, StateKeeper peer, Random random)
      throws StateSourceException {
    switch (random.nextInt(3)) {
      case 0 -> own.replaceBy(source.completeState(), source.clockMs);
      case 1 -> queryPeer(own, peer, source.clockMs);
      default -> follow(own, source);
    }
  }

  private static void queryPeer(StateKeeper own, StateKeeper peer, long nowMs)
      throws StateSourceException {
    long queryRevision = own.state().revision();
    if (peer.state().revision() <= queryRevision) {
      return;
    }
    FleetStateCodec.PeerState response =
        FleetStateCodec.decode(peer.encodedSince(queryRevision, 0));
    if (response.complete()) {
      own.replaceBy(response.state(), nowMs);
    } else {
      own.merge(response.state(), queryRevision, nowMs);
    }
  }

  private static void follow(StateKeeper own, SimulatedSource source) {
    List<StateChanges> changes = source.changesAfter(own.state().revision());
    if (changes == null) {
      own.replaceBy(source.completeState(), source.clockMs);
      return;
    }
    for (StateChanges change : changes) {
      own.apply(change, source.clockMs);
    }
  }

  /** Checks that no start is replaced by an earlier one, and no draining start is ready again. */
  private static void assertNothingReverts(FleetState before, FleetState after) {
    assertThat(after.revision()).isAtLeast(before.revision());
    for (TargetRecord known : before.targets()) {
      TargetRecord now = after.target(known.id());
      assertThat(now).isNotNull();
      assertWithMessage("%s then %s", known, now).that(known.startedAfter(now)).isFalse();
      boolean isSameStart = known.startNumber() == now.startNumber();
      if (isSameStart && known.leaving()) {
        assertWithMessage("%s then %s", known, now).that(now.leaving()).isTrue();
        assertThat(now.phase()).isNotEqualTo(TargetPhase.READY);
      }
    }
  }

  @Property(seed = "20261203", tries = 1_000)
  void noStateRevertsAndAllNodesAgreeOnceTheSourceHasSettled(@ForAll long seed)
      throws StateSourceException {
    runHistory(seed);
  }

  // A node that knew a later start of an id, from an earlier era or as ended, ignored what the
  // source listed of the earlier start. Peers that listed the earlier start never received its end
  // from that node.
  @Example
  void formerlyFailingHistoriesLeaveNoEndedTargetListed() throws StateSourceException {
    for (long seed : FORMERLY_FAILING_SEEDS) {
      runHistory(seed);
    }
  }

  private static void runHistory(long seed) throws StateSourceException {
    Random random = new Random(seed);
    SimulatedSource source = new SimulatedSource();
    List<StateKeeper> nodes = new ArrayList<>();
    for (int node = 0; node < NODES; node++) {
      nodes.add(new StateKeeper(GONE_TARGET_RETENTION_MS, (before, after, nowMs) -> {}));
    }
    for (int step = 0; step < STEPS; step++) {
      source.step(random);
      StateKeeper node = nodes.get(random.nextInt(NODES));
      FleetState before = node.state();
      updateNode(node, source, nodes.get(random.nextInt(NODES)), random);
      node.onTick(source.clockMs);
      assertNothingReverts(before, node.state());
    }
    source.settle();
    for (StateKeeper node : nodes) {
      follow(node, source);
      node.onTick(source.clockMs + StateKeeper.UNCONFIRMED_TTL_MS);
      assertMatches(source, node.state());
    }
  }

  private static void assertMatches(SimulatedSource source, FleetState state) {
    assertThat(state.revision()).isEqualTo(source.revision());
    for (int target = 0; target < TARGETS; target++) {
      Process process = source.processes[target];
      TargetRecord known = state.target("t" + target);
      if (!process.alive) {
        assertWithMessage("t%s", target).that(known == null || !known.isListed()).isTrue();
        continue;
      }
      TargetPhase phase = process.leaving ? TargetPhase.DRAINING : TargetPhase.READY;
      assertWithMessage("t%s", target).that(known.phase()).isEqualTo(phase);
      assertWithMessage("t%s", target).that(known.startedAtMs()).isEqualTo(process.startedAtMs);
    }
  }
}
