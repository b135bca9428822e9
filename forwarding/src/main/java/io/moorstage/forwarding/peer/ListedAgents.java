package io.moorstage.forwarding.peer;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import javax.annotation.Nullable;

/**
 * The agents of the targets that a state lists, and the subset of them that keeps a copy of the
 * state. Immutable.
 *
 * <p>Balancers that start while the source is unavailable read the state from such a copy. A few
 * agents of each zone keep one, ranked by a hash of their address, so that all balancers select the
 * same agents. A copy at each agent would cost the balancers a transfer of the whole state for each
 * agent and each change.
 */
final class ListedAgents {
  /**
   * The number of copies in each zone. With four, a zone keeps a copy after the loss of some
   * machines, and other zones have copies of their own.
   */
  static final int COPIES_PER_ZONE = 4;

  /** No agents. */
  static final ListedAgents NONE = new ListedAgents(FleetState.EMPTY);

  private final FleetState state;
  private final Map<Integer, TargetRecord> targetsByAddress;
  private final Set<Integer> copyHolders = new HashSet<>();
  private final Set<Integer> withReadyPredecessor = new HashSet<>();

  private ListedAgents(FleetState state) {
    this.state = state;
    this.targetsByAddress = state.targetsByAddress();
    for (TargetRecord target : state.targets()) {
      TargetRecord newest = targetsByAddress.get(target.address());
      if (target.phase() == TargetPhase.READY && newest.supersedes(target)) {
        withReadyPredecessor.add(target.address());
      }
    }
    selectCopyHolders();
  }

  private void selectCopyHolders() {
    Map<String, TreeMap<Long, Integer>> rankedByZone = new HashMap<>();
    for (TargetRecord target : targetsByAddress.values()) {
      if (target.phase() != TargetPhase.GONE) {
        rankedByZone
            .computeIfAbsent(target.zone(), zone -> new TreeMap<>())
            .put(FlowId.mix(target.address()), target.address());
      }
    }
    for (TreeMap<Long, Integer> addresses : rankedByZone.values()) {
      List<Integer> ranked = new ArrayList<>(addresses.values());
      copyHolders.addAll(ranked.subList(0, Math.min(COPIES_PER_ZONE, ranked.size())));
    }
  }

  /** Returns the agents of a state; returns this instance if it is for the same state. */
  ListedAgents forState(FleetState other) {
    return other == state ? this : new ListedAgents(other);
  }

  /** Returns the target of each agent: the newest one that is listed at its address. */
  Iterable<TargetRecord> targets() {
    return targetsByAddress.values();
  }

  int count() {
    return targetsByAddress.size();
  }

  /** Returns the target at an address, or null if none is listed there. */
  @Nullable
  TargetRecord targetAt(int address) {
    return targetsByAddress.get(address);
  }

  /**
   * Returns whether the source still lists as ready an earlier target at the address of the newest
   * one, which shows that the earlier one died without draining.
   */
  boolean isPredecessorListedReady(int address) {
    return withReadyPredecessor.contains(address);
  }

  /** Returns whether the agent at an address keeps a copy of the state. */
  boolean keepsCopy(int address) {
    return copyHolders.contains(address);
  }
}
