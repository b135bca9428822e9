package io.moorstage.core.transparent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.annotation.Nullable;

/**
 * The targets of one service, at most one at an address, and the choice among them for a new flow.
 * Immutable but for slots.
 */
public final class TargetPool {
  private static final int REPORT_VALID_MS = 1_500;
  private static final double SLOW_START_FACTOR = 2.5;

  private final ForwardingPolicy policy;
  private final String service;
  private final List<TargetSlot> slots;

  private final Map<Integer, TargetSlot> slotsByAddress = new HashMap<>();

  TargetPool(String service, List<TargetSlot> slots, ForwardingPolicy policy) {
    this.policy = policy;
    this.service = service;
    this.slots = List.copyOf(slots);
    for (TargetSlot slot : slots) {
      slotsByAddress.put(slot.address(), slot);
    }
  }

  /** Returns the service's name. */
  public String service() {
    return service;
  }

  /** Returns all targets, those that are leaving or gone included. */
  public List<TargetSlot> slots() {
    return slots;
  }

  /** Returns how many targets take new flows as far as the source tells. */
  int readyCount() {
    int count = 0;
    for (TargetSlot slot : slots) {
      if (slot.record().phase() == TargetPhase.READY) {
        count++;
      }
    }
    return count;
  }

  /** Returns the target at an address, or null if none is known there. */
  @Nullable
  TargetSlot at(int address) {
    return slotsByAddress.get(address);
  }

  /**
   * Chooses the target of a new flow: the less loaded of the flow's two highest ranked targets that
   * may take one. Two choices balance nearly as well as all (Mitzenmacher, 2001), and as they
   * depend on the flow alone, a node that has lost its memory finds the target among a few.
   *
   * @param tried targets that have refused the flow or left it unanswered
   * @return the target, or null if none may take the flow
   */
  @Nullable
  TargetSlot choose(FlowId flow, List<TargetSlot> tried, long nowMs) {
    TargetSlot choice = chooseAmong(flow, tried, false, nowMs);
    // A silent target may be alive; it is better than none.
    return choice != null ? choice : chooseAmong(flow, tried, true, nowMs);
  }

  @Nullable
  private TargetSlot chooseAmong(
      FlowId flow, List<TargetSlot> tried, boolean suspectsToo, long nowMs) {
    long flowHash = flow.hash();
    TargetSlot first = null;
    TargetSlot second = null;
    for (TargetSlot slot : slots) {
      if (slot.record().phase() != TargetPhase.READY || isAmong(tried, slot.address())) {
        continue;
      }
      if (!suspectsToo && slot.isSuspect(nowMs) && policy.uses(Mechanism.SUSPICION)) {
        continue;
      }
      if (first == null || ranksHigher(slot, first, flowHash)) {
        second = first;
        first = slot;
      } else if (second == null || ranksHigher(slot, second, flowHash)) {
        second = slot;
      }
    }
    if (second == null || !policy.uses(Mechanism.TWO_CHOICES)) {
      return first;
    }
    return weightedLoad(second, nowMs) < weightedLoad(first, nowMs) ? second : first;
  }

  private static boolean isAmong(List<TargetSlot> tried, int address) {
    for (TargetSlot slot : tried) {
      if (slot.address() == address) {
        return true;
      }
    }
    return false;
  }

  private static boolean ranksHigher(TargetSlot slot, TargetSlot other, long flowHash) {
    return Long.compareUnsigned(slot.rank(flowHash), other.rank(flowHash)) > 0;
  }

  private double weightedLoad(TargetSlot slot, long nowMs) {
    double load = slot.load(policy.uses(Mechanism.LOAD_REPORTS) ? REPORT_VALID_MS : -1, nowMs);
    boolean slow = slot.isSlow(nowMs) && policy.uses(Mechanism.SLOW_START);
    return slow ? load * SLOW_START_FACTOR : load;
  }

  /** Returns the targets in the order in which a flow of unknown place is looked for. */
  List<TargetSlot> byRank(FlowId flow) {
    long flowHash = flow.hash();
    List<TargetSlot> ranked = new ArrayList<>(slots);
    ranked.sort((a, b) -> Long.compareUnsigned(b.rank(flowHash), a.rank(flowHash)));
    return ranked;
  }
}
