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
 * The targets of each service as one state has them, one at an address: a target that another one
 * has followed there is none any more. Immutable but for the slots.
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

  /** Returns pools without any target, for a balancer of a zone. */
  public static TargetPools empty(ForwardingPolicy policy, String zone) {
    return new TargetPools(policy, zone, new HashMap<>(), new HashMap<>());
  }

  /** Returns the pools of a newer state; targets that stay in one start keep their slots. */
  public TargetPools update(FleetState state, long nowMs) {
    Map<String, TargetSlot> slots = new HashMap<>();
    Map<String, List<TargetSlot>> members = new HashMap<>();
    for (TargetRecord record : state.targetsByAddress().values()) {
      TargetSlot slot = slotsById.get(record.id());
      if (slot == null || slot.record().startNumber() != record.startNumber()) {
        // Load, silence and ejection were those of the start before.
        slot = new TargetSlot(record, nowMs);
      } else {
        slot.update(record, nowMs);
      }
      slot.evacuate(state.evacuations().isInForce(record.zone()), nowMs);
      slots.put(record.id(), slot);
      members.computeIfAbsent(record.service(), service -> new ArrayList<>()).add(slot);
    }
    Map<String, TargetPool> pools = new HashMap<>();
    for (Map.Entry<String, List<TargetSlot>> entry : members.entrySet()) {
      pools.put(entry.getKey(), new TargetPool(entry.getKey(), zone, entry.getValue(), policy));
    }
    return new TargetPools(policy, zone, slots, pools);
  }

  /** Returns the targets of a service, or null if none is known. */
  @Nullable
  public TargetPool ofService(String service) {
    return poolsByService.get(service);
  }

  /** Returns the target at an address, of whatever service, or null if none is known there. */
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

  /** Returns the slots of all targets. */
  public Iterable<TargetSlot> slots() {
    return slotsById.values();
  }
}
