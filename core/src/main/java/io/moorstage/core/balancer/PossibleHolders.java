package io.moorstage.core.balancer;

import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.state.ForwardingConfiguration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Lists the targets that may hold a flow whose target is unknown. Guarded by the lock of {@link
 * FlowBalancer}.
 */
final class PossibleHolders {
  private final BalancerTables tables;

  PossibleHolders(BalancerTables tables) {
    this.tables = tables;
  }

  /**
   * Returns all targets that may hold a flow, of the services that its route has or is known to
   * have had, in the order of preference for a new flow: most flows are held by one of the first
   * four. An address may occur twice, with targets of two services.
   */
  List<TargetSlot> inOrder(BalancerFlow flow, long nowMs) {
    Holders holders = new Holders(flow, nowMs);
    for (TargetPool pool : tables.poolsOf(flow)) {
      pool.slots().forEach(holders::addListed);
    }
    for (AgentDirectory.KnownAgent agent : tables.agents().all()) {
      if (tables.mayHold(flow, agent.service())) {
        holders.addUnlisted(agent);
      }
    }
    return holders.inOrder();
  }

  /**
   * Returns the targets of all services. A target of a service that the flow's route is not known
   * to have had holds the flow if the route had that service before this balancer received its
   * first configuration. The agents of such targets may be queried, but a segment must not be
   * offered to the targets.
   */
  List<TargetSlot> allServicesInOrder(BalancerFlow flow, long nowMs) {
    Holders holders = new Holders(flow, nowMs);
    for (TargetSlot slot : tables.slots()) {
      if (mayBeTarget(slot)) {
        holders.addListed(slot);
      }
    }
    tables.agents().all().forEach(holders::addUnlisted);
    return holders.inOrder();
  }

  // An entry of another writer has no agent, and a search would wait for its response until its
  // end.
  private boolean mayBeTarget(TargetSlot slot) {
    ForwardingConfiguration configuration = tables.configuration();
    return configuration.names(slot.record().service())
        || !configuration.hasAllFormerServices()
        || tables.agents().get(slot.address()) != null;
  }

  /** Returns whether the target at an address has ended, so that no search has to wait for it. */
  boolean hasEnded(int address, long nowMs) {
    return hasEnded(address, tables.isListed(address), nowMs);
  }

  // A target that the source does not list and whose agent is unresponsive has ended, and its flows
  // with it. An agent that is merely not active may be restarting, or its beacons may not have been
  // read. An agent that stops after its target reports the end of the target. Without that report,
  // searches would wait 1.8 s for the agent's response.
  private boolean hasEnded(int address, boolean isListed, long nowMs) {
    AgentDirectory agents = tables.agents();
    return agents.hasTargetEnded(address) || !isListed && agents.isUnresponsive(address, nowMs);
  }

  /** Targets that may hold one flow, grouped by service. */
  private final class Holders {
    private final BalancerFlow flow;
    private final long nowMs;
    private final Map<String, Map<Integer, TargetSlot>> byService = new LinkedHashMap<>();

    private Holders(BalancerFlow flow, long nowMs) {
      this.flow = flow;
      this.nowMs = nowMs;
    }

    private void addListed(TargetSlot slot) {
      if (!hasEnded(slot.address(), slot.record().isListed(), nowMs)) {
        add(slot);
      }
    }

    // A target may still serve flows although the source has not listed it since this balancer
    // started.
    private void addUnlisted(AgentDirectory.KnownAgent agent) {
      if (!hasEnded(agent.slot().address(), false, nowMs)) {
        add(agent.slot());
      }
    }

    private void add(TargetSlot slot) {
      if (!flow.isNonHolder(slot.address())) {
        byService
            .computeIfAbsent(slot.record().service(), service -> new HashMap<>())
            .putIfAbsent(slot.address(), slot);
      }
    }

    /** Returns the most likely targets of each service, followed by all others. */
    private List<TargetSlot> inOrder() {
      Set<TargetSlot> first = new LinkedHashSet<>();
      List<TargetSlot> all = new ArrayList<>();
      for (Map<Integer, TargetSlot> targets : byService.values()) {
        List<TargetSlot> ranked =
            TargetPool.byLikelihood(targets.values(), tables.zone(), flow.id());
        first.addAll(ranked.subList(0, Math.min(SearchQueries.FIRST_ROUND_SIZE, ranked.size())));
        all.addAll(ranked);
      }
      first.addAll(all);
      return List.copyOf(first);
    }
  }
}
