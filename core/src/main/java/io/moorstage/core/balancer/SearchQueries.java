package io.moorstage.core.balancer;

import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.SearchSettings;

/**
 * Sends the queries of a search: selects which agents are queried about the flow, in which order
 * and when. Guarded by the lock of {@link FlowBalancer}.
 *
 * <p>Inputs: the targets that may hold the flow ({@link PossibleHolders}), as of the newest state;
 * and the agents that have not responded to queries for {@code agentTimeoutMs}.
 *
 * <p>The agents of the most likely targets are queried first, and more only if none of them reports
 * the flow: {@value #ROUND_GROWTH_FACTOR} times as many in each round, after {@value
 * #ROUND_INTERVAL_MS} ms or as soon as all have responded. An unresponsive agent is queried, but
 * the search does not wait for it. The other balancers are queried with the second round, or with
 * the first if that covers all agents. Once the agents of the route's services have been queried,
 * those of all other services are queried. Agents that have not responded are queried again after
 * each pause of the search, and at once when they become active.
 *
 * <p>The cost of locating a flow therefore does not grow with the number of the service's targets.
 * Agents of other services are queried because the route may have had another service before this
 * balancer received its first configuration, and a flow is not declared lost while a node may know
 * it.
 */
final class SearchQueries {
  /**
   * The number of agents in the first round: a new flow is placed at one of its two highest ranked
   * targets of the zone, or at one of its two highest ranked targets overall.
   */
  static final int FIRST_ROUND_SIZE = TargetPool.LIKELY_TARGETS;

  /**
   * The growth of the number of agents from one round to the next: three rounds cover 84 targets.
   */
  private static final int ROUND_GROWTH_FACTOR = 4;

  /**
   * The time from one round to the next, in milliseconds: a few round trips between zones, of 2 ms
   * each.
   */
  private static final int ROUND_INTERVAL_MS = 20;

  private final SearchSettings settings;
  private final BalancerActions actions;
  private final BalancerTables tables;
  private final PossibleHolders holders;

  SearchQueries(SearchSettings settings, BalancerActions actions, BalancerTables tables) {
    this.settings = settings;
    this.actions = actions;
    this.tables = tables;
    this.holders = new PossibleHolders(tables);
  }

  /** Queries the agents of the most likely targets. */
  void queryFirstRound(Search search, long nowMs) {
    search.addToQuery(holders.inOrder(search.flow(), nowMs));
    queryRound(search, FIRST_ROUND_SIZE, nowMs);
  }

  /** Queries the agents of the next round. */
  void queryNextRound(Search search, long nowMs) {
    queryRound(search, search.nextRoundSize(), nowMs);
  }

  /**
   * Queries agents of services that the flow's route is not known to have had, once in a search.
   */
  void queryOtherServices(Search search, long nowMs) {
    if (search.markOtherServicesQueried()) {
      removeEnded(search, nowMs);
      search.addToQuery(holders.allServicesInOrder(search.flow(), nowMs));
      queryRound(search, FIRST_ROUND_SIZE * ROUND_GROWTH_FACTOR, nowMs);
    }
  }

  /**
   * Queries the agents again that have not responded: the query or the response may have been lost,
   * or the agent may have been unavailable for a moment.
   */
  void queryAgain(Search search, long nowMs) {
    removeEnded(search, nowMs);
    int unresponsiveCount = search.requeueUnresponsive();
    queryRound(search, unresponsiveCount, nowMs);
  }

  // Whether an agent is unresponsive often shows only when others answer the queries of this
  // search.
  private void removeEnded(Search search, long nowMs) {
    search.removeUnanswered(address -> holders.hasEnded(address, nowMs));
  }

  /**
   * Queries an agent that has become active, unless it will be queried with the other services
   * later.
   */
  void queryAvailable(Search search, TargetSlot agent, String service, long nowMs) {
    BalancerFlow flow = search.flow();
    if (flow.isNonHolder(agent.address())) {
      return;
    }
    if (!search.areOtherServicesQueried() && !tables.mayHold(flow, service)) {
      return;
    }
    search.cancelQuery(agent.address());
    TargetSlot slot = tables.slotAt(flow, agent.address());
    query(search, slot == null ? agent : slot, nowMs);
    if (flow.offeredTo() == null) {
      search.waitUntil(nowMs + settings.responseTimeoutMs());
    }
  }

  /**
   * Queries the agent of a target that a peer named as the holder, unless this search already has
   * it.
   */
  void queryNamed(Search search, TargetSlot named, long nowMs) {
    if (search.addLeastLikely(named.address())) {
      query(search, named, nowMs);
    }
  }

  /** Queries the agent of the target that is assumed to be the holder. */
  void queryHolder(Search search, TargetSlot holder, long nowMs) {
    search.cancelQuery(holder.address());
    query(search, holder, nowMs);
  }

  private void queryRound(Search search, int count, long nowMs) {
    int queried = 0;
    while (queried < count && search.hasAgentsToQuery()) {
      TargetSlot slot = search.pollAgentToQuery();
      if (tables.agents().isUnresponsive(slot.address(), nowMs)) {
        // The agent may be available again, so it is queried, but the search does not wait for it.
        search.addUnresponsive(slot);
        send(search, slot, nowMs);
      } else {
        query(search, slot, nowMs);
        queried++;
      }
    }
    boolean isFirstRound = count == FIRST_ROUND_SIZE;
    boolean queriesBalancers = !isFirstRound || !search.hasAgentsToQuery();
    if (queriesBalancers && search.markBalancersQueried()) {
      actions.queryBalancers(search.flow().id());
    }
    int waitMs = search.hasAgentsToQuery() ? ROUND_INTERVAL_MS : settings.responseTimeoutMs();
    search.waitUntil(nowMs + waitMs);
    search.setNextRoundSize(count * ROUND_GROWTH_FACTOR);
  }

  private void query(Search search, TargetSlot slot, long nowMs) {
    search.addPending(slot);
    send(search, slot, nowMs);
  }

  private void send(Search search, TargetSlot slot, long nowMs) {
    tables.agents().recordQuery(slot.address(), nowMs);
    actions.query(slot.address(), search.flow().id());
  }
}
