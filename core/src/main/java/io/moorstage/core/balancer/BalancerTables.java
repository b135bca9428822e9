package io.moorstage.core.balancer;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetPools;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import javax.annotation.Nullable;

/**
 * The tables that the parts of a balancer share: fleet state, targets, agents and flows. Guarded by
 * the lock of {@link FlowBalancer}.
 */
final class BalancerTables {
  private final ForwardingPolicy policy;
  private final String zone;
  private final int zoneKey;
  private final BalancerActions actions;
  private final long startedAtMs;
  private final Map<FlowId, BalancerFlow> flows = new HashMap<>();
  private final AgentDirectory agents;
  private final UnlistedTargets unlistedTargets;
  private TargetPools pools;
  private FleetState state = FleetState.EMPTY;
  private long stateAtMs;
  private long orderPeriod;

  BalancerTables(ForwardingPolicy policy, String zone, BalancerActions actions, long nowMs) {
    this.policy = policy;
    this.zone = zone;
    this.zoneKey = ClientOrder.zoneKey(zone);
    this.actions = actions;
    this.startedAtMs = nowMs;
    this.agents = new AgentDirectory(policy);
    this.unlistedTargets = new UnlistedTargets(policy, zone, agents);
    this.pools = TargetPools.empty(policy, zone);
  }

  void updateState(FleetState newer, long nowMs) {
    state = newer;
    stateAtMs = nowMs;
    if (newer.configuration().version() > 0) {
      unlistedTargets.recordState(nowMs);
    }
    TargetPools previous = pools;
    pools = previous.update(newer, nowMs);
    agents.discardEndsOfReplaced(address -> isReplaced(previous, address));
  }

  // A target keeps its slot as long as it is the same start.
  private boolean isReplaced(TargetPools previous, int address) {
    TargetSlot slot = pools.at(address);
    return slot != null && slot != previous.at(address);
  }

  ForwardingConfiguration configuration() {
    return state.configuration();
  }

  String zone() {
    return zone;
  }

  /**
   * Returns whether the balancer knows all agents: it has run for {@code agentDiscoveryMs} and has
   * read a beacon meanwhile. A balancer without processor time reads none.
   */
  boolean knowsAllAgents(long nowMs) {
    return agents.hasHeardOfAgents() && nowMs - startedAtMs > policy.search().agentDiscoveryMs();
  }

  long ageOfState(long nowMs) {
    return nowMs - stateAtMs;
  }

  @Nullable
  TargetPool poolOf(String service) {
    return pools.ofService(service);
  }

  Iterable<TargetPool> pools() {
    return pools.pools();
  }

  /** Returns the largest spread of the service times of all services. */
  double serviceTimeSpread(long nowMs) {
    return pools.serviceTimeSpread(nowMs);
  }

  Iterable<TargetSlot> slots() {
    return pools.slots();
  }

  /**
   * Returns the targets that are candidates for a new flow of a service, or null if none is known.
   */
  @Nullable
  TargetPool candidatesOf(String service, long nowMs) {
    return unlistedTargets.candidatesOf(
        service, pools.ofService(service), state.evacuations(), nowMs);
  }

  /** Returns whether all targets of a service are in evacuated zones, so that waiting is futile. */
  boolean isEvacuated(String service) {
    TargetPool listed = pools.ofService(service);
    return listed != null && listed.isEvacuated();
  }

  /** Returns whether a cold target of a service has reached its limit of new flows. */
  boolean hasColdAtLimit(String service, long nowMs) {
    TargetPool listed = pools.ofService(service);
    return listed != null && listed.hasColdAtLimit(nowMs);
  }

  AgentDirectory agents() {
    return agents;
  }

  // ---- flows ----

  @Nullable
  BalancerFlow flow(FlowId id) {
    return flows.get(id);
  }

  int flowCount() {
    return flows.size();
  }

  void add(BalancerFlow flow) {
    flows.put(flow.id(), flow);
  }

  void remove(BalancerFlow flow) {
    flow.moveTo(null);
    flows.remove(flow.id());
  }

  void send(BalancerFlow flow, TargetSlot target, ByteBuffer datagram) {
    actions.forward(target.address(), termsOf(flow, target), datagram);
  }

  private ForwardTerms termsOf(BalancerFlow flow, TargetSlot target) {
    ForwardingConfiguration configuration = state.configuration();
    long version = configuration.version();
    // The terms are cached per flow and created again only when they change, to avoid an allocation
    // for every segment.
    ForwardTerms known = flow.terms();
    // An agent gives back a segment that names another service than its target's, as happens after
    // the address has passed to a target of another service.
    String service = target.record().service();
    boolean isCurrent = known != null && known.configurationVersion() == version;
    if (isCurrent
        && keepsOrder(flow)
        && known.overridesEjection() == flow.overridesEjection()
        && known.service().equals(service)) {
      return known;
    }
    ForwardTerms terms = newTermsOf(flow, service, configuration);
    flow.setTerms(terms, keepsOrder(flow) ? flow.orderPeriod() : orderPeriod);
    return terms;
  }

  private ForwardTerms newTermsOf(
      BalancerFlow flow, String service, ForwardingConfiguration configuration) {
    ForwardingRoute route = configuration.routeOf(flow.id());
    return new ForwardTerms(
        service,
        configuration.version(),
        route == null ? 0 : route.timeoutMs(),
        configuration.coldStartOf(service).openingsPerS(),
        route != null && route.repeatable(),
        flow.overridesEjection(),
        policy.overload().enabled() ? schedulingOf(flow, route) : null);
  }

  // ---- overload control ----

  /** Sets the number of the current period of the order of clients. */
  void setOrderPeriod(long period) {
    // Without overload control the terms do not contain the order, and need not be created again.
    if (policy.overload().enabled()) {
      orderPeriod = period;
    }
  }

  /**
   * Returns the rank of a flow's requests under the current configuration, as in the terms of its
   * segments. If the flow's route has been removed, the priority is that of the terms last sent.
   * The client order of an opening is that of the terms last sent, if any; otherwise it is that of
   * the current period.
   */
  int rankOf(BalancerFlow flow) {
    return schedulingOf(flow, state.configuration().routeOf(flow.id())).rank();
  }

  private SchedulingTerms schedulingOf(BalancerFlow flow, @Nullable ForwardingRoute route) {
    long period = keepsOrder(flow) ? flow.orderPeriod() : orderPeriod;
    int clientOrder = ClientOrder.of(flow.id().clientAddress(), period);
    if (route != null) {
      return new SchedulingTerms(route.objectiveMs(), route.priority(), clientOrder, zoneKey);
    }
    // The route may be removed while an opening waits or the flow is open: the last terms apply.
    SchedulingTerms last = flow.terms() == null ? null : flow.terms().scheduling();
    return last == null
        ? new SchedulingTerms(0, SchedulingTerms.LOWEST_PRIORITY, clientOrder, zoneKey)
        : new SchedulingTerms(last.objectiveMs(), last.priority(), clientOrder, zoneKey);
  }

  // An opening keeps its place in the order while targets are tried. An accepted flow, which may
  // live for 60 s, gets the order of each period, so that its client is not last in all of them.
  private boolean keepsOrder(BalancerFlow flow) {
    return flow.orderPeriod() == orderPeriod
        || (flow.terms() != null && !flow.hasTargetResponded());
  }

  /**
   * Returns whether targets of a service may be sent a segment of a flow whose target is unknown:
   * the flow's route has the service, or had it when the flow may have been opened.
   */
  boolean mayHold(BalancerFlow flow, String service) {
    ForwardingRoute route = state.configuration().routeOf(flow.id());
    boolean routeHasService = route != null && route.hasService(service);
    return routeHasService || service.equals(flow.service());
  }

  /**
   * Returns whether the target at an address may hold flows of a route to whose known services it
   * does not belong: the route may have had its service in a version of the configuration that is
   * not known, and the target may have been listed by then. Nodes learn of targets and
   * configurations in the order of the source's revisions.
   */
  boolean mayHoldByUnknownVersion(int address) {
    ForwardingConfiguration configuration = state.configuration();
    if (configuration.hasAllFormerServices()) {
      return false;
    }
    TargetSlot listed = pools.at(address);
    return listed == null
        || !listed.record().isListedFirstAfter(configuration.servicesKnownSince());
  }

  /**
   * Returns the most likely service of a flow that is not in the table, or null if the flow has no
   * route.
   */
  @Nullable
  String likelyServiceOf(FlowId id) {
    ForwardingRoute route = state.configuration().routeOf(id);
    if (route == null) {
      return null;
    }
    String service = route.serviceOf(id);
    // If no service of the route takes new flows, any one of them may still hold open ones.
    return service != null ? service : route.services().get(0).service();
  }

  /** Returns the pools of the services that may hold a flow, the most likely one first. */
  List<TargetPool> poolsOf(BalancerFlow flow) {
    Set<String> services = new LinkedHashSet<>();
    services.add(flow.service());
    ForwardingRoute route = state.configuration().routeOf(flow.id());
    if (route != null) {
      route.services().forEach(part -> services.add(part.service()));
    }
    List<TargetPool> found = new ArrayList<>(1);
    for (String service : services) {
      TargetPool pool = pools.ofService(service);
      if (pool != null) {
        found.add(pool);
      }
    }
    return found;
  }

  /** Returns the target of a flow's services at an address, or null if none is known there. */
  @Nullable
  TargetSlot slotAt(BalancerFlow flow, int address) {
    for (TargetPool pool : poolsOf(flow)) {
      TargetSlot slot = pool.at(address);
      if (slot != null) {
        return slot;
      }
    }
    AgentDirectory.KnownAgent agent = agents.get(address);
    return agent == null ? null : agent.slot();
  }

  /** Returns the target of an agent, of any service, or null if none is known at its address. */
  @Nullable
  TargetSlot targetOfAgent(BalancerFlow flow, int agentAddress) {
    TargetSlot slot = slotAt(flow, agentAddress);
    return slot == null ? pools.at(agentAddress) : slot;
  }

  /** Returns whether the source lists a target of any service at an address. */
  boolean isListed(int address) {
    TargetSlot slot = pools.at(address);
    return slot != null && slot.record().isListed();
  }

  /** Evicts closed and idle flows after their retention periods, and stale agents. */
  void sweep(long nowMs) {
    for (Iterator<BalancerFlow> all = flows.values().iterator(); all.hasNext(); ) {
      BalancerFlow flow = all.next();
      int retentionMs =
          flow.isClosed() ? policy.retention().closedFlowMs() : policy.retention().flowMs();
      if (!flow.isSearching() && nowMs - flow.lastUsedMs() > retentionMs) {
        flow.moveTo(null);
        all.remove();
      }
    }
    agents.sweep(nowMs);
  }
}
