package io.moorstage.core.transparent;

import io.moorstage.core.transparent.BalancerFlow.Location;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import javax.annotation.Nullable;

/**
 * Finds the target of flows that this balancer does not know: asks agents and other balancers, and
 * offers a segment to one target after the other if nobody remembers. Guarded by the lock of {@link
 * FlowBalancer}.
 */
final class FlowLocator {
  private static final int MAX_ASKED_AGENTS = 24;

  private final ForwardingPolicy policy;
  private final BalancerActions actions;
  private final DecisionLog log;
  private final BalancerTables tables;
  private final List<BalancerFlow> locating = new ArrayList<>();

  FlowLocator(
      ForwardingPolicy policy, BalancerActions actions, DecisionLog log, BalancerTables tables) {
    this.policy = policy;
    this.actions = actions;
    this.log = log;
    this.tables = tables;
  }

  /** Takes a segment of an open flow that an agent gives back: its target does not hold it. */
  void notHeld(int agentAddress, Segment segment, ByteBuffer datagram, long nowMs) {
    BalancerFlow flow = tables.flow(segment.flow());
    if (flow == null) {
      locate(segment, datagram, nowMs);
      return;
    }
    if (!flow.denied.contains(agentAddress)) {
      flow.denied.add(agentAddress);
    }
    Location location = flow.location;
    if (location != null) {
      if (location.offeredTo != null && location.offeredTo.address() == agentAddress) {
        location.offeredTo = null;
        offerNext(flow, nowMs);
      }
      return;
    }
    if (flow.target != null && flow.target.address() != agentAddress) {
      // A late return; the flow has been found elsewhere meanwhile.
      tables.send(flow, flow.target, datagram);
      return;
    }
    TargetSlot other = takeUntriedAnswer(flow);
    if (other != null) {
      flow.moveTo(other);
      log.decided(
          Decision.LOCATED, flow.id, other.address(), "opened-at-other", nowMs - flow.openedAtMs);
      tables.send(flow, other, datagram);
      return;
    }
    startLocation(flow, segment, datagram, nowMs);
  }

  /** Returns a target that got an earlier copy of the opening segment and may have accepted it. */
  @Nullable
  private static TargetSlot takeUntriedAnswer(BalancerFlow flow) {
    if (flow.tried.isEmpty()) {
      return null;
    }
    return flow.tried.remove(flow.tried.size() - 1);
  }

  /** Begins the search for a flow that a client goes on with. */
  void locate(Segment segment, ByteBuffer datagram, long nowMs) {
    ForwardingRoute route = tables.configuration().routeOf(segment.flow());
    String service = route == null ? null : route.serviceOf(segment.flow());
    if (service == null) {
      log.decided(
          Decision.DROPPED_NO_ROUTE, segment.flow(), 0, "not-opening", tables.ageOfState(nowMs));
      return;
    }
    BalancerFlow flow = new BalancerFlow(segment.flow(), service, nowMs);
    flow.answered = true;
    tables.add(flow);
    startLocation(flow, segment, datagram, nowMs);
  }

  /** Begins the search for a known flow whose target is lost or wrong. */
  void startLocation(BalancerFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    TargetSlot excluded = flow.target;
    flow.moveTo(null);
    flow.confirmed = false;
    Location location = new Location(segment.acknowledged(), nowMs);
    location.hold(datagram, policy.maxHeldSegments());
    flow.location = location;
    locating.add(flow);
    String reason = excluded == null ? "unknown" : "not-held";
    int address = excluded == null ? 0 : excluded.address();
    log.decided(Decision.ASKED, flow.id, address, reason, tables.ageOfState(nowMs));
    ask(flow, nowMs);
  }

  /** Asks every agent whose target may hold a flow, and the other balancers. */
  private void ask(BalancerFlow flow, long nowMs) {
    List<TargetSlot> mayHold = new ArrayList<>();
    for (TargetPool pool : tables.poolsOf(flow)) {
      for (TargetSlot slot : pool.byRank(flow.id)) {
        if (!flow.denied.contains(slot.address()) && mayHold.size() < MAX_ASKED_AGENTS) {
          addIfMayHold(mayHold, slot, nowMs);
        }
      }
    }
    addUnlisted(flow, mayHold, nowMs);
    Location location = flow.location;
    location.deadlineMs = nowMs + policy.locateTimeoutMs();
    for (TargetSlot slot : mayHold) {
      if (tables.isAgentHeard(slot.address(), nowMs)) {
        location.unanswered.add(slot);
        actions.ask(slot.address(), flow.id);
      } else {
        // It is asked as soon as it is heard from.
        location.absent.add(slot.address());
      }
    }
    actions.askBalancers(flow.id);
  }

  // An agent has started or is back: it may know the flows that are being looked for.
  void askAgentForLocatingFlows(TargetSlot agent, String service, long nowMs) {
    for (BalancerFlow flow : locating) {
      Location location = flow.location;
      ForwardingRoute route = tables.configuration().routeOf(flow.id);
      boolean serves = route != null && route.sharesFlowsWith(service);
      if (location == null || !serves || flow.denied.contains(agent.address())) {
        continue;
      }
      TargetSlot slot = tables.slotAt(flow, agent.address());
      location.absent.remove((Integer) agent.address());
      location.unanswered.add(slot == null ? agent : slot);
      if (location.offeredTo == null) {
        location.deadlineMs = nowMs + policy.locateTimeoutMs();
      }
      actions.ask(agent.address(), flow.id);
    }
  }

  private void addIfMayHold(List<TargetSlot> asked, TargetSlot slot, long nowMs) {
    for (TargetSlot known : asked) {
      if (known.address() == slot.address()) {
        return;
      }
    }
    // A target that has gone, and whose agent has fallen silent, has ended with its flows.
    boolean gone = slot.record().phase() == TargetPhase.GONE;
    if (!gone || tables.isAgentHeard(slot.address(), nowMs)) {
      asked.add(slot);
    }
  }

  // A target may serve on though the source never listed it since this balancer has started.
  private void addUnlisted(BalancerFlow flow, List<TargetSlot> asked, long nowMs) {
    ForwardingRoute route = tables.configuration().routeOf(flow.id);
    for (BalancerTables.HeardAgent agent : tables.heardAgents()) {
      boolean denied = flow.denied.contains(agent.slot().address());
      boolean serves =
          route == null
              ? agent.service().equals(flow.service)
              : route.sharesFlowsWith(agent.service());
      if (serves && !denied && tables.isAgentHeard(agent.slot().address(), nowMs)) {
        addIfMayHold(asked, agent.slot(), nowMs);
      }
    }
  }

  /** Takes an answer of an agent or another balancer about a flow. */
  void onKnowledge(
      int peerAddress, FlowId id, FlowKnowledge knowledge, int targetAddress, long nowMs) {
    BalancerFlow flow = tables.flow(id);
    if (flow == null || flow.location == null) {
      return;
    }
    Location location = flow.location;
    switch (knowledge) {
      case HELD:
      case KNOWN_ELSEWHERE:
        // Another balancer may believe what this one has just found to be wrong.
        TargetSlot holder =
            flow.denied.contains(targetAddress) ? null : tables.slotAt(flow, targetAddress);
        if (holder != null) {
          flow.confirmed = knowledge == FlowKnowledge.HELD;
          found(flow, holder, "told-by-peer", nowMs);
        }
        break;
      case LOST:
        actions.reset(id, location.acknowledged);
        log.decided(Decision.RESET_LOST, id, peerAddress, "told-by-agent", -1);
        endLocation(flow);
        tables.forget(flow);
        break;
      case UNKNOWN:
        answered(flow, peerAddress, true, nowMs);
        break;
      case NOT_HELD:
        answered(flow, peerAddress, false, nowMs);
        break;
    }
  }

  private void answered(BalancerFlow flow, int agentAddress, boolean mayHold, long nowMs) {
    Location location = flow.location;
    for (Iterator<TargetSlot> slots = location.unanswered.iterator(); slots.hasNext(); ) {
      TargetSlot slot = slots.next();
      if (slot.address() == agentAddress) {
        slots.remove();
        if (mayHold) {
          location.candidates.add(slot);
        }
        break;
      }
    }
    if (location.unanswered.isEmpty() && location.offeredTo == null) {
      offerNext(flow, nowMs);
    }
  }

  private void found(BalancerFlow flow, TargetSlot holder, String reason, long nowMs) {
    Location location = flow.location;
    endLocation(flow);
    flow.moveTo(holder);
    log.decided(Decision.LOCATED, flow.id, holder.address(), reason, nowMs - flow.lastUsedMs);
    for (byte[] datagram : location.held) {
      tables.send(flow, holder, ByteBuffer.wrap(datagram));
    }
  }

  private void offerNext(BalancerFlow flow, long nowMs) {
    Location location = flow.location;
    if (location.candidates.isEmpty()) {
      notFound(flow, location, nowMs);
      return;
    }
    TargetSlot candidate = highestRanked(flow, location.candidates);
    location.candidates.remove(candidate);
    location.offeredTo = candidate;
    location.deadlineMs = nowMs + policy.offerTimeoutMs();
    log.decided(
        Decision.OFFERED, flow.id, candidate.address(), "may-hold", tables.ageOfState(nowMs));
    tables.send(flow, candidate, ByteBuffer.wrap(location.held.get(0)));
  }

  // Each agent has answered for its target, or the target itself has returned a segment: if that
  // holds for all, no target holds the flow, and a reset lets the client try again at once.
  private void notFound(BalancerFlow flow, Location location, long nowMs) {
    boolean learned = nowMs - tables.startedAtMs() > policy.learnMs();
    if (location.conclusive && location.absent.isEmpty() && learned) {
      log.decided(Decision.RESET_LOST, flow.id, 0, "held-by-none", tables.ageOfState(nowMs));
      actions.reset(flow.id, location.acknowledged);
    } else if (nowMs - location.startedAtMs < policy.searchMs()) {
      // An agent that starts meanwhile is asked when it is first heard from.
      location.deadlineMs = nowMs + policy.searchPauseMs();
      return;
    } else {
      log.decided(Decision.NOT_FOUND, flow.id, 0, "nobody-knows", tables.ageOfState(nowMs));
    }
    endLocation(flow);
    tables.forget(flow);
  }

  private static TargetSlot highestRanked(BalancerFlow flow, List<TargetSlot> candidates) {
    long flowHash = flow.id.hash();
    TargetSlot highest = candidates.get(0);
    for (TargetSlot slot : candidates) {
      if (Long.compareUnsigned(slot.rank(flowHash), highest.rank(flowHash)) > 0) {
        highest = slot;
      }
    }
    return highest;
  }

  private void endLocation(BalancerFlow flow) {
    flow.location = null;
    locating.remove(flow);
  }

  /** Ends rounds of questions and offers whose time is over. */
  void onTick(long nowMs) {
    for (BalancerFlow flow : new ArrayList<>(locating)) {
      Location location = flow.location;
      if (location == null || location.deadlineMs > nowMs) {
        continue;
      }
      if (location.offeredTo == null) {
        location.conclusive &= location.unanswered.isEmpty();
        location.unanswered.clear();
        offerNext(flow, nowMs);
      } else {
        // A target returns at once what it does not hold.
        TargetSlot holder = location.offeredTo;
        location.held.remove(0);
        found(flow, holder, "kept-offer", nowMs);
      }
    }
  }
}
