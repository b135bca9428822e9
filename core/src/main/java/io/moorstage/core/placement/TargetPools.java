package io.moorstage.core.placement;

import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.annotation.Nullable;

/**
 * The targets of each service in one state, at most one for each address: a target that has been
 * replaced by another one at its address is left out. Immutable except for the state of the slots.
 */
public final class TargetPools {
  private final ForwardingPolicy policy;
  private final String zone;
  private final Map<String, TargetSlot> slotsById;
  private final Map<String, TargetPool> poolsByService;

  private TargetPools(
      ForwardingPolicy policy,
      String zone,
      Map<String, TargetSlot> slotsById,
      Map<String, TargetPool> poolsByService) {
    this.policy = policy;
    this.zone = zone;
    this.slotsById = slotsById;
    this.poolsByService = poolsByService;
  }

  /** Returns pools without any target, for a balancer in a zone. */
  public static TargetPools empty(ForwardingPolicy policy, String zone) {
    return new TargetPools(policy, zone, new HashMap<>(), new HashMap<>());
  }

  /** Returns the pools of a newer state; a target keeps its slot unless it has restarted. */
  public TargetPools update(FleetState state, long nowMs) {
    Map<String, TargetSlot> slots = new HashMap<>();
    Map<String, List<TargetSlot>> members = new HashMap<>();
    for (TargetRecord record : state.targetsByAddress().values()) {
      TargetSlot slot = slotsById.get(record.id());
      if (slot == null || slot.record().startNumber() != record.startNumber()) {
        // Load, suspicion and ejection of the previous start do not apply to this one.
        slot = new TargetSlot(record, nowMs);
      } else {
        slot.update(record, nowMs);
      }
      slot.setEvacuated(state.evacuations().isInForce(record.zone()), nowMs);
      slots.put(record.id(), slot);
      members.computeIfAbsent(record.service(), service -> new ArrayList<>()).add(slot);
    }
    Map<String, TargetPool> pools = new HashMap<>();
    for (Map.Entry<String, List<TargetSlot>> entry : members.entrySet()) {
      pools.put(entry.getKey(), new TargetPool(entry.getKey(), zone, entry.getValue(), policy));
    }
    return new TargetPools(policy, zone, slots, pools);
  }

  /** Returns the targets of a service, or null if it has none. */
  @Nullable
  public TargetPool ofService(String service) {
    return poolsByService.get(service);
  }

  /** Returns the target of any service at an address, or null if there is none. */
  @Nullable
  public TargetSlot at(int address) {
    for (TargetPool pool : poolsByService.values()) {
      TargetSlot slot = pool.at(address);
      if (slot != null) {
        return slot;
      }
    }
    return null;
  }

  /** Returns the pools of all services. */
  public Iterable<TargetPool> pools() {
    return poolsByService.values();
  }

  /**
   * Returns the largest spread of the service times of all services; see {@link
   * TargetPool#serviceTimeSpread}.
   */
  public double serviceTimeSpread(long nowMs) {
    double spread = 1;
    for (TargetPool pool : poolsByService.values()) {
      spread = Math.max(spread, pool.serviceTimeSpread(nowMs));
    }
    return spread;
  }

  /** Returns the slots of all targets. */
  public Iterable<TargetSlot> slots() {
    return slotsById.values();
  }
}
