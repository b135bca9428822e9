package io.moorstage.core.placement;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.settings.ForwardingPolicy;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import javax.annotation.Nullable;

/**
 * The targets of one service, at most one for each address. Immutable except for the state of the
 * slots.
 */
public final class TargetPool {
  /** How many targets of its zone, and how many of all zones, a new flow chooses from. */
  private static final int CHOICES = 2;

  /** The same while the service times differ; see {@link TargetChoice}. */
  private static final int CHOICES_BY_TIME = 4;

  /**
   * How many targets a new flow may have been given to: the highest ranked ones of the balancer's
   * zone and the highest ranked ones of all zones.
   */
  public static final int LIKELY_TARGETS = 2 * CHOICES;

  private final String service;
  private final List<TargetSlot> slots;
  private final TargetChoice choice;

  private final Map<Integer, TargetSlot> slotsByAddress = new HashMap<>();

  /**
   * Creates a pool.
   *
   * @param zone the zone of the balancer that chooses among the targets
   */
  public TargetPool(String service, String zone, List<TargetSlot> slots, ForwardingPolicy policy) {
    this.service = service;
    this.choice = new TargetChoice(zone, policy);
    this.slots = List.copyOf(slots);
    for (TargetSlot slot : slots) {
      slotsByAddress.put(slot.address(), slot);
    }
  }

  /** Returns the name of the service. */
  public String service() {
    return service;
  }

  /** Returns all targets, including those that are draining or gone. */
  public List<TargetSlot> slots() {
    return slots;
  }

  /** Returns the number of targets that are listed as ready and not in an evacuated zone. */
  public int readyCount() {
    int count = 0;
    for (TargetSlot slot : slots) {
      if (slot.acceptsNewFlows()) {
        count++;
      }
    }
    return count;
  }

  /** Returns whether the pool has targets and all of them are in evacuated zones. */
  public boolean isEvacuated() {
    for (TargetSlot slot : slots) {
      if (!slot.isEvacuated()) {
        return false;
      }
    }
    return !slots.isEmpty();
  }

  /**
   * Returns whether more than half of the targets that accept new flows are ejected. The others
   * could not handle the load then, and the fault may lie elsewhere, so all targets are used.
   */
  public boolean mostAreEjected(long nowMs) {
    int ejected = 0;
    for (TargetSlot slot : slots) {
      ejected += slot.acceptsNewFlows() && slot.isEjected(nowMs) ? 1 : 0;
    }
    return ejected > 0 && ejected * 2 > readyCount();
  }

  /** Returns whether a target would accept new flows but has reached its cold start limit. */
  public boolean hasColdAtLimit(long nowMs) {
    for (TargetSlot slot : slots) {
      if (slot.acceptsNewFlows() && slot.isColdAtLimit(nowMs)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the target at an address, or null if the pool has none there. */
  @Nullable
  public TargetSlot at(int address) {
    return slotsByAddress.get(address);
  }

  /**
   * Chooses the target of a new flow; see {@link TargetChoice}.
   *
   * @param tried targets that have rejected the flow or left it unanswered
   * @return the target, or null if there is no candidate
   */
  @Nullable
  public TargetSlot choose(FlowId flow, List<TargetSlot> tried, long nowMs) {
    return choose(flow, tried, TargetChoice.ANY_RANK, nowMs);
  }

  /**
   * Chooses the target of a new flow under overload control; see {@link TargetChoice}.
   *
   * @param tried targets that have rejected the flow or left it unanswered
   * @param rank the rank of the opening: targets whose agents admit only lower ranks are candidates
   *     only if there are no others
   * @return the target, or null if there is no candidate
   */
  @Nullable
  public TargetSlot choose(FlowId flow, List<TargetSlot> tried, int rank, long nowMs) {
    return choice.choose(slots, flow, tried, rank, mostAreEjected(nowMs), nowMs);
  }

  /**
   * Returns the least loaded candidate of all zones for an opening that was rejected as overloaded,
   * or null if there is no candidate; parameters as for {@link #choose(FlowId, List, int, long)}.
   */
  @Nullable
  public TargetSlot leastLoaded(FlowId flow, List<TargetSlot> tried, int rank, long nowMs) {
    return choice.leastLoaded(slots, flow, tried, rank, mostAreEjected(nowMs), nowMs);
  }

  /**
   * Returns how many of the first targets of {@link #byLikelihood} a flow may have been given to:
   * with placement by service times, these may have differed when the flow was opened, or at the
   * balancer that placed it.
   */
  public int likelyTargets() {
    return choice.usesServiceTimes() ? 2 * CHOICES_BY_TIME : LIKELY_TARGETS;
  }

  /**
   * Returns how much the service times of the targets differ: that of the slowest tenth divided by
   * that of the fastest tenth; 1 while they are not known.
   */
  public double serviceTimeSpread(long nowMs) {
    return choice.serviceTimes(slots, nowMs).spread();
  }

  /**
   * Returns targets in the order in which a search queries them for a flow whose target is unknown:
   * first the two highest ranked ones in the balancer's zone, then the two highest ranked others,
   * then the next two in the balancer's zone, then all others by rank. With service times that
   * differ, the holder of a flow is thus in the second round of a search at the latest.
   */
  public static List<TargetSlot> byLikelihood(
      Collection<TargetSlot> targets, String balancerZone, FlowId flow) {
    long flowHash = flow.hash();
    List<TargetSlot> ranked = new ArrayList<>(targets);
    ranked.sort((a, b) -> Long.compareUnsigned(b.rank(flowHash), a.rank(flowHash)));
    Set<TargetSlot> ordered = new LinkedHashSet<>();
    List<TargetSlot> ofOwnZone =
        ranked.stream()
            .filter(slot -> slot.record().zone().equals(balancerZone))
            .limit(CHOICES_BY_TIME)
            .toList();
    ordered.addAll(ofOwnZone.subList(0, Math.min(CHOICES, ofOwnZone.size())));
    for (TargetSlot slot : ranked) {
      if (ordered.size() < LIKELY_TARGETS) {
        ordered.add(slot);
      }
    }
    ordered.addAll(ofOwnZone);
    ordered.addAll(ranked);
    return List.copyOf(ordered);
  }
}
