package io.moorstage.core.balancer;

import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.state.Evacuations;
import java.util.ArrayList;
import java.util.List;
import javax.annotation.Nullable;

/**
 * Decides which targets are candidates for a new flow of a service: only those that the source
 * lists, or also unlisted ones whose agents are active. Guarded by the lock of {@link
 * FlowBalancer}.
 *
 * <p>Inputs: the listed targets of the service, as of the newest state; the agents that have sent a
 * beacon within {@code agentTimeoutMs}; the evacuations in force; and the time since the balancer's
 * first state, in milliseconds.
 *
 * <p>Within {@code unlistedTargetsMs} of the first state, and if the active agents of unlisted
 * targets outnumber the listed ready targets, both kinds are candidates; otherwise only the listed
 * ones are. Unlisted targets in an evacuated zone are excluded.
 *
 * <p>During an outage of the source, the entries of targets that cannot renew them expire, and the
 * source lists the targets one by one when it is available again. A balancer that starts at that
 * time would send all flows to the few listed targets, while beacons show that the others are
 * running. An agent whose target is leaving gives back the openings that it receives.
 */
final class UnlistedTargets {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ForwardingPolicy policy;
  private final String zone;
  private final AgentDirectory agents;
  private final boolean includesUnlisted;
  private long firstStateAtMs = NEVER;

  UnlistedTargets(ForwardingPolicy policy, String zone, AgentDirectory agents) {
    this.policy = policy;
    this.zone = zone;
    this.agents = agents;
    this.includesUnlisted = policy.uses(Mechanism.UNLISTED_TARGETS);
  }

  /** Records that the balancer has received a state with a configuration. */
  void recordState(long nowMs) {
    if (firstStateAtMs == NEVER) {
      firstStateAtMs = nowMs;
    }
  }

  /**
   * Returns the targets that are candidates for a new flow of a service, or null if none is known.
   *
   * @param listed the service's targets that the source lists, or null if it lists none
   */
  @Nullable
  TargetPool candidatesOf(
      String service, @Nullable TargetPool listed, Evacuations evacuations, long nowMs) {
    boolean recentlyStarted = nowMs - firstStateAtMs <= policy.opening().unlistedTargetsMs();
    if (!recentlyStarted || !includesUnlisted) {
      return listed;
    }
    List<TargetSlot> unlisted = unlistedOf(service, listed, evacuations, nowMs);
    int ready = listed == null ? 0 : listed.readyCount();
    // A minority of unlisted targets may be about to end; a majority is not.
    if (unlisted.size() <= ready) {
      return listed;
    }
    List<TargetSlot> slots = new ArrayList<>(unlisted);
    if (listed != null) {
      slots.addAll(listed.slots());
    }
    return new TargetPool(service, zone, slots, policy);
  }

  private List<TargetSlot> unlistedOf(
      String service, @Nullable TargetPool listed, Evacuations evacuations, long nowMs) {
    List<TargetSlot> unlisted = new ArrayList<>();
    for (AgentDirectory.KnownAgent agent : agents.all()) {
      int address = agent.slot().address();
      boolean isListed = listed != null && listed.at(address) != null;
      boolean serves = agent.service().equals(service) && agents.isActive(address, nowMs);
      boolean evacuated = evacuations.isInForce(agent.slot().record().zone());
      if (serves && !isListed && !evacuated) {
        unlisted.add(agent.slot());
      }
    }
    return unlisted;
  }
}
