package io.moorstage.core.balancer;

import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.SearchSettings;

/**
 * The rule for the questions of a search: which agents are asked for the flow, in which order, and
 * when? Guarded by the lock of {@link FlowBalancer}.
 *
 * <p>Inputs: the targets that may hold the flow ({@link PossibleHolders}), as of the newest state;
 * and which agents have left questions unanswered for {@code agentSilenceMs}.
 *
 * <p>The agents of the likeliest targets are asked first, and more only if none of them holds the
 * flow: {@value #WIDENING} times as many each round, after {@value #WIDEN_AFTER_MS} ms or as soon
 * as all have answered. An agent that counts as away is asked, but not waited for. The other
 * balancers are asked with the second round, or with the first if that asks all. Once the agents of
 * the route's services have been asked, those of all other services are. Agents that have not
 * answered are asked again after each rest of the search, and at once when they appear.
 *
 * <p>So finding a flow does not cost more in a larger service, and none is concluded to be lost
 * while somebody may know it: a route may have had another service before this balancer knew of any
 * configuration.
 */
final class SearchQuestions {
  /** A new flow goes to one of its two highest ranked targets of the zone, or of all. */
  static final int FIRST_ASKED = TargetPool.LIKELY_TARGETS;

  /** Each further round asks so many times as many agents: three rounds cover 84 targets. */
  private static final int WIDENING = 4;

  /** The time from one round to the next: a few round trips between zones, of 2 ms each. */
  private static final int WIDEN_AFTER_MS = 20;

  private final SearchSettings settings;
  private final BalancerActions actions;
  private final BalancerTables tables;
  private final PossibleHolders holders;

  SearchQuestions(SearchSettings settings, BalancerActions actions, BalancerTables tables) {
    this.settings = settings;
    this.actions = actions;
    this.tables = tables;
    this.holders = new PossibleHolders(tables);
  }

  /** Asks the agents of the likeliest targets. */
  void askFirst(Search search, long nowMs) {
    search.addToAsk(holders.inOrder(search.flow(), nowMs));
    askNext(search, FIRST_ASKED, nowMs);
  }

  /** Asks the agents of the next round. */
  void askNextRound(Search search, long nowMs) {
    askNext(search, search.nextAsked(), nowMs);
  }

  /** Asks agents of services that the flow's route is not known to have had, if not yet done. */
  void askElsewhere(Search search, long nowMs) {
    if (search.markElsewhereAsked()) {
      search.addToAsk(holders.elsewhereInOrder(search.flow(), nowMs));
      askNext(search, FIRST_ASKED * WIDENING, nowMs);
    }
  }

  /**
   * Asks those again that have not answered: a question or its answer may have been lost, and an
   * agent may have been away for a moment.
   */
  void askAgain(Search search, long nowMs) {
    int absent = search.askAbsentAgain();
    askNext(search, absent, nowMs);
  }

  /** Asks an agent that has started or is back, unless it is asked later with its service. */
  void askAppeared(Search search, TargetSlot agent, String service, long nowMs) {
    BalancerFlow flow = search.flow();
    if (flow.isDeniedBy(agent.address())) {
      return;
    }
    if (!search.isElsewhereAsked() && !tables.mayHold(flow, service)) {
      return;
    }
    search.forgetQuestion(agent.address());
    TargetSlot slot = tables.slotAt(flow, agent.address());
    ask(search, slot == null ? agent : slot, nowMs);
    if (flow.offeredTo() == null) {
      search.waitUntil(nowMs + settings.answerTimeoutMs());
    }
  }

  /** Asks the agent beside a target that a peer takes for the holder, if it is not known yet. */
  void askNamed(Search search, TargetSlot named, long nowMs) {
    if (search.addLeastLikely(named.address())) {
      ask(search, named, nowMs);
    }
  }

  private void askNext(Search search, int count, long nowMs) {
    int asked = 0;
    while (asked < count && search.hasAgentsToAsk()) {
      TargetSlot slot = search.pollAgentToAsk();
      if (tables.agents().isSilent(slot.address(), nowMs)) {
        // It is asked, since it may be back, but not waited for.
        search.notWaitedFor(slot);
        actions.ask(slot.address(), search.flow().id());
      } else {
        ask(search, slot, nowMs);
        asked++;
      }
    }
    boolean first = count == FIRST_ASKED;
    boolean asksBalancers = !first || !search.hasAgentsToAsk();
    if (asksBalancers && search.markBalancersAsked()) {
      actions.askBalancers(search.flow().id());
    }
    int waitMs = search.hasAgentsToAsk() ? WIDEN_AFTER_MS : settings.answerTimeoutMs();
    search.waitUntil(nowMs + waitMs);
    search.widenTo(count * WIDENING);
  }

  private void ask(Search search, TargetSlot slot, long nowMs) {
    search.asked(slot);
    tables.agents().asked(slot.address(), nowMs);
    actions.ask(slot.address(), search.flow().id());
  }
}
