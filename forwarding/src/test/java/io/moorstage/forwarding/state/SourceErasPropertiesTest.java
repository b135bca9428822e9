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
 * Nodes that learn of a source from it and from each other, in any order, while the source comes
 * back from older copies of itself and targets start again under their ids.
 */
class SourceErasPropertiesTest {
  private static final int TARGETS = 3;
  private static final int NODES = 3;
  private static final int STEPS = 60;

  /** Longer than all that happens here. */
  private static final int GONE_MEMORY_MS = 1_000_000;

  /** Some steps take less than the wait for what a copy lacks, some more. */
  private static final int LONGEST_STEP_MS = 1_000;

  private static final long[] ONCE_BROKEN = {
    265_843_076_961_163_314L, -1_740_404, 3_836_298_206_462_154_727L, 4_082_034, -1_577_355
  };

  /** What a target's process is, whatever the source lists. */
  private static final class Process {
    private long startedAtMs;
    private boolean leaving;
    private boolean alive;
  }

  /** The source, its targets and its copies. */
  private static final class History {
    private final Process[] processes = new Process[TARGETS];
    private final List<StateChanges> events = new ArrayList<>();
    private Map<String, TargetRecord> listed = new HashMap<>();
    private Map<String, TargetRecord> copied = new HashMap<>();
    private long copiedCount;
    private long clockMs = 1_000;
    private int era = 1;
    private long count = 1;

    History() {
      for (int target = 0; target < TARGETS; target++) {
        processes[target] = new Process();
      }
    }

    long revision() {
      return Revision.of(era, count);
    }

    void step(Random random) {
      clockMs += 1 + random.nextInt(LONGEST_STEP_MS);
      int target = random.nextInt(TARGETS);
      Process process = processes[target];
      switch (random.nextInt(10)) {
        case 0 -> copy();
        case 1 -> restore();
        case 2 -> lapse(target);
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

    /** A target that lives writes its entry. */
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
          id, startedAtMs, "tables", address, "z", 2, phase, false, 0, created, revision);
    }

    private void lapse(int target) {
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

    /** All that live write again, and the entries of the others lapse. */
    void settle() {
      for (int target = 0; target < TARGETS; target++) {
        write(target);
        lapse(target);
      }
    }

    FleetState reading() {
      return FleetState.of(
          revision(), ForwardingConfiguration.NONE, listed.values(), Evacuations.NONE);
    }

    /** The changes that a watch after a revision is answered, or null if it is refused. */
    List<StateChanges> after(long known) {
      long oldest = events.isEmpty() ? revision() : events.get(0).revision() - 1;
      if (Revision.era(known) != era || known < oldest || known > revision()) {
        return null;
      }
      return events.stream().filter(change -> change.revision() > known).toList();
    }
  }

  /** A node learns of the source from it, by a reading or by changes, or from a peer. */
  private static void learn(StateKeeper own, History history, StateKeeper peer, Random random)
      throws StateSourceException {
    switch (random.nextInt(3)) {
      case 0 -> own.replaceBy(history.reading(), history.clockMs);
      case 1 -> askPeer(own, peer, history.clockMs);
      default -> follow(own, history);
    }
  }

  private static void askPeer(StateKeeper own, StateKeeper peer, long nowMs)
      throws StateSourceException {
    long asked = own.state().revision();
    if (peer.state().revision() <= asked) {
      return;
    }
    FleetStateCodec.PeerState answer = FleetStateCodec.decode(peer.encodedSince(asked, 0));
    if (answer.complete()) {
      own.replaceBy(answer.state(), nowMs);
    } else {
      own.merge(answer.state(), asked, nowMs);
    }
  }

  private static void follow(StateKeeper own, History history) {
    List<StateChanges> changes = history.after(own.state().revision());
    if (changes == null) {
      own.replaceBy(history.reading(), history.clockMs);
      return;
    }
    for (StateChanges change : changes) {
      own.apply(change, history.clockMs);
    }
  }

  /** What a node knew of a start never goes back: not its leaving, and not to an earlier start. */
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
  void nothingThatANodeKnowsRevertsAndAllAgreeOnceTheSourceHasSettled(@ForAll long seed)
      throws StateSourceException {
    play(seed);
  }

  // A node that knew a later start of an id, from an earlier era or as ended, did not follow what
  // the
  // source listed of the start before; peers that had listed that one never heard of its end.
  @Example
  void historiesThatOnceLeftAnEndedTargetListedLeaveNone() throws StateSourceException {
    for (long seed : ONCE_BROKEN) {
      play(seed);
    }
  }

  private static void play(long seed) throws StateSourceException {
    Random random = new Random(seed);
    History history = new History();
    List<StateKeeper> nodes = new ArrayList<>();
    for (int node = 0; node < NODES; node++) {
      nodes.add(new StateKeeper(GONE_MEMORY_MS, (before, after, nowMs) -> {}));
    }
    for (int step = 0; step < STEPS; step++) {
      history.step(random);
      StateKeeper node = nodes.get(random.nextInt(NODES));
      FleetState before = node.state();
      learn(node, history, nodes.get(random.nextInt(NODES)), random);
      node.onTick(history.clockMs);
      assertNothingReverts(before, node.state());
    }
    history.settle();
    for (StateKeeper node : nodes) {
      follow(node, history);
      node.onTick(history.clockMs + StateKeeper.UNCONFIRMED_MS);
      assertShows(history, node.state());
    }
  }

  private static void assertShows(History history, FleetState state) {
    assertThat(state.revision()).isEqualTo(history.revision());
    for (int target = 0; target < TARGETS; target++) {
      Process process = history.processes[target];
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
