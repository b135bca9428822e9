package io.moorstage.core.transparent;

import io.moorstage.core.transparent.BalancerFlow.Location;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import javax.annotation.Nullable;

/**
 * The balancer's decisions: which target gets a new flow, and where the segments of an open flow
 * go. Thread-safe: each call holds the lock of this shard of flows.
 */
public final class FlowBalancer {
  private static final int MAX_ASKED_AGENTS = 24;
  private static final int MAX_WAITING_OPENS = 512;
  private static final int CONFIGURATION_WAIT_MS = 180;
  private static final int MAX_EARLY_SEGMENTS = 2_048;
  private static final int EARLY_MEMORY_MS = 1_000;

  private final ForwardingPolicy policy;
  private final BalancerActions actions;
  private final DecisionLog log;
  private final Map<FlowId, BalancerFlow> flows = new HashMap<>();
  private final List<BalancerFlow> locating = new ArrayList<>();
  private final List<WaitingOpen> waitingOpens = new ArrayList<>();
  private final List<EarlySegment> earlySegments = new ArrayList<>();
  private final Map<Integer, HeardAgent> heardAgents = new HashMap<>();
  private final long startedAtMs;
  private TargetPools pools = TargetPools.EMPTY;
  private FleetState state = FleetState.EMPTY;
  private long confirmedUntilMs = Long.MIN_VALUE;
  private long stateAtMs;

  /**
   * An opening segment that waits: for a configuration of at least some version, or, if that is 0,
   * for a target.
   */
  private record WaitingOpen(Segment segment, byte[] datagram, long version, long deadlineMs) {}

  /** A client's segment that came before this balancer knew any configuration. */
  private record EarlySegment(Segment segment, byte[] datagram, long atMs) {}

  /** An agent that has told of itself, whether or not the source lists its target. */
  private record HeardAgent(String service, TargetSlot slot, long heardAtMs) {}

  /**
   * Creates a balancer without state.
   *
   * @param policy times and bounds
   * @param actions takes what is decided
   * @param log takes each decision
   * @param nowMs the time of the start
   */
  public FlowBalancer(
      ForwardingPolicy policy, BalancerActions actions, DecisionLog log, long nowMs) {
    this.startedAtMs = nowMs;
    this.policy = policy;
    this.actions = actions;
    this.log = log;
  }

  /** Takes a newer state. */
  public synchronized void onState(FleetState newer, long nowMs) {
    state = newer;
    stateAtMs = nowMs;
    pools = pools.update(newer, nowMs);
    List<WaitingOpen> waiting = new ArrayList<>(waitingOpens);
    waitingOpens.clear();
    for (WaitingOpen open : waiting) {
      boolean hasTarget = open.version() > 0 || hasTarget(open.segment(), nowMs);
      if (open.version() <= newer.configuration().version() && hasTarget) {
        open(open.segment(), ByteBuffer.wrap(open.datagram()), nowMs);
      } else {
        waitingOpens.add(open);
      }
    }
    if (newer.configuration().version() > 0) {
      handleEarlySegments(nowMs);
    }
  }

  // A segment that is handled late is answered sooner than one that its client has to repeat.
  private void handleEarlySegments(long nowMs) {
    List<EarlySegment> early = new ArrayList<>(earlySegments);
    earlySegments.clear();
    for (EarlySegment segment : early) {
      if (nowMs - segment.atMs() <= EARLY_MEMORY_MS) {
        onClientSegment(segment.segment(), ByteBuffer.wrap(segment.datagram()), nowMs);
      }
    }
  }

  private boolean hasTarget(Segment segment, long nowMs) {
    ForwardingRoute route = state.configuration().routeOf(segment.flow());
    String service = route == null ? null : route.serviceOf(segment.flow());
    TargetPool pool = service == null ? null : pools.ofService(service);
    return pool != null && pool.choose(segment.flow(), List.of(), nowMs) != null;
  }

  /** The configuration source has confirmed that the state is current until some time. */
  public synchronized void onConfirmed(long untilMs) {
    confirmedUntilMs = untilMs;
  }

  /**
   * Takes what an agent tells of its target.
   *
   * @param service the target's service
   * @param busyFlows flows with a request in progress
   * @param stopping whether the agent is about to end
   */
  public synchronized void onAgent(
      int agentAddress, String service, int busyFlows, boolean stopping, long nowMs) {
    HeardAgent known = heardAgents.get(agentAddress);
    boolean same = known != null && known.service().equals(service);
    TargetSlot heardSlot = same ? known.slot() : unlistedSlot(agentAddress, service, nowMs);
    boolean appeared = !isAgentHeard(agentAddress, nowMs);
    heardAgents.put(agentAddress, new HeardAgent(service, heardSlot, stopping ? 0 : nowMs));
    if (appeared && !stopping) {
      askAgentForLocatingFlows(heardSlot, service, nowMs);
    }
    for (TargetSlot slot : pools.slots()) {
      if (slot.address() == agentAddress && slot.record().phase() != TargetPhase.GONE) {
        slot.reportBusy(busyFlows, nowMs);
        slot.hear(nowMs);
        if (stopping) {
          slot.leave(policy.suspicionMs(), nowMs);
        }
      }
    }
  }

  private static TargetSlot unlistedSlot(int agentAddress, String service, long nowMs) {
    String id = "agent-" + Integer.toHexString(agentAddress);
    return new TargetSlot(
        new TargetRecord(id, service, agentAddress, "", 1, TargetPhase.GONE, 0, 0), nowMs);
  }

  /** Returns whether agents have been heard from before, and none of them within some time. */
  public synchronized boolean hasLostAllAgents(int periodMs, long nowMs) {
    for (HeardAgent agent : heardAgents.values()) {
      if (nowMs - agent.heardAtMs() <= periodMs) {
        return false;
      }
    }
    return !heardAgents.isEmpty();
  }

  private boolean isAgentHeard(int agentAddress, long nowMs) {
    HeardAgent agent = heardAgents.get(agentAddress);
    return agent != null && nowMs - agent.heardAtMs() <= policy.agentSilenceMs();
  }

  /** Takes a segment from a client. */
  public synchronized void onClientSegment(Segment segment, ByteBuffer datagram, long nowMs) {
    if (state.configuration().version() == 0) {
      if (earlySegments.size() < MAX_EARLY_SEGMENTS) {
        earlySegments.add(new EarlySegment(segment, copyOf(datagram), nowMs));
      }
      return;
    }
    if (segment.kind() == Segment.Kind.OPEN) {
      open(segment, datagram, nowMs);
      return;
    }
    BalancerFlow flow = flows.get(segment.flow());
    if (flow == null) {
      locate(segment, datagram, nowMs);
      return;
    }
    flow.lastUsedMs = nowMs;
    if (flow.location != null) {
      flow.location.hold(datagram, policy.maxHeldSegments());
      return;
    }
    if (flow.target == null) {
      startLocation(flow, segment, datagram, nowMs);
      return;
    }
    if (!flow.answered) {
      flow.answered = true;
      flow.confirmed = true;
      flow.target.trust();
    }
    send(flow, flow.target, datagram);
    if (segment.kind() == Segment.Kind.CLOSE || segment.kind() == Segment.Kind.RESET) {
      flow.close();
    }
  }

  private void send(BalancerFlow flow, TargetSlot target, ByteBuffer datagram) {
    ForwardingConfiguration configuration = state.configuration();
    ForwardingRoute route = configuration.routeOf(flow.id);
    int timeoutMs = route == null ? 0 : route.timeoutMs();
    actions.forward(target.address(), flow.service, configuration.version(), timeoutMs, datagram);
  }

  // ---- new flows ----

  private void open(Segment segment, ByteBuffer datagram, long nowMs) {
    ForwardingRoute route = state.configuration().routeOf(segment.flow());
    if (route == null) {
      openWithoutRoute(segment, nowMs);
      return;
    }
    BalancerFlow flow = flows.get(segment.flow());
    if (flow == null) {
      String service = route.serviceOf(segment.flow());
      if (service == null) {
        resetOpening(segment, "no-weight", nowMs);
        return;
      }
      flow = new BalancerFlow(segment.flow(), service, nowMs);
      flows.put(segment.flow(), flow);
      place(flow, segment, datagram, "new", nowMs);
      return;
    }
    flow.lastUsedMs = nowMs;
    if (flow.target == null || flow.location != null) {
      place(flow, segment, datagram, "copy", nowMs);
    } else if (flow.answered || mayRepeat(flow, nowMs) || !hasOther(flow, nowMs)) {
      log.decided(Decision.REPEATED, flow.id, flow.target.address(), "copy", ageOfState(nowMs));
      flow.unreturnedOpens++;
      send(flow, flow.target, datagram);
    } else {
      // Neither an answer nor a refusal came: the agent or its machine does not answer.
      flow.target.suspect(policy.suspicionMs(), nowMs);
      flow.tried.add(flow.target);
      place(flow, segment, datagram, "unanswered", nowMs);
    }
  }

  private boolean hasOther(BalancerFlow flow, long nowMs) {
    TargetPool pool = pools.ofService(flow.service);
    List<TargetSlot> excluded = new ArrayList<>(flow.tried);
    excluded.add(flow.target);
    boolean mayRepeatHere = flow.target.record().phase() == TargetPhase.READY;
    boolean other = pool != null && pool.choose(flow.id, excluded, nowMs) != null;
    return other || !mayRepeatHere;
  }

  private static boolean mayRepeat(BalancerFlow flow, long nowMs) {
    TargetSlot target = flow.target;
    boolean ready = target.record().phase() == TargetPhase.READY;
    return ready && target.heardSince(flow.openedAtMs) && !target.isSuspect(nowMs);
  }

  private void openWithoutRoute(Segment segment, long nowMs) {
    // Only a configuration that is known to be current may say that there is no route.
    if (nowMs <= confirmedUntilMs) {
      log.decided(Decision.RESET_NO_ROUTE, segment.flow(), 0, "confirmed", ageOfState(nowMs));
      actions.reset(segment.flow(), segment.acknowledged());
    } else {
      log.decided(Decision.DROPPED_NO_ROUTE, segment.flow(), 0, "unconfirmed", ageOfState(nowMs));
    }
  }

  private void place(
      BalancerFlow flow, Segment segment, ByteBuffer datagram, String reason, long nowMs) {
    TargetPool pool = pools.ofService(flow.service);
    TargetSlot chosen = pool == null ? null : pool.choose(flow.id, flow.tried, nowMs);
    if (chosen == null) {
      refuse(flow, segment, datagram, nowMs);
      return;
    }
    Decision decision = flow.tried.isEmpty() ? Decision.PLACED : Decision.PLACED_AGAIN;
    log.decided(decision, flow.id, chosen.address(), reason, ageOfState(nowMs));
    flow.moveTo(chosen);
    flow.openedAtMs = nowMs;
    flow.unreturnedOpens++;
    send(flow, chosen, datagram);
  }

  private void refuse(BalancerFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    if (flow.unreturnedOpens > 0) {
      // A target may still accept: a reset could hit an open flow.
      flow.tried.clear();
      return;
    }
    forget(flow);
    if (flow.tried.isEmpty() && waitForTarget(segment, datagram, nowMs)) {
      return;
    }
    resetOpening(segment, "no-target", nowMs);
  }

  // Just after a start or an outage of the source, targets are listed one by one: a short wait
  // serves the flow, where a reset would use up the client's retries within milliseconds.
  private boolean waitForTarget(Segment segment, ByteBuffer datagram, long nowMs) {
    for (WaitingOpen open : waitingOpens) {
      if (open.segment().flow().equals(segment.flow())) {
        return true;
      }
    }
    if (waitingOpens.size() >= MAX_WAITING_OPENS) {
      return false;
    }
    log.decided(Decision.HELD_FOR_TARGET, segment.flow(), 0, "no-target", ageOfState(nowMs));
    long deadlineMs = nowMs + policy.openWaitMs();
    waitingOpens.add(new WaitingOpen(segment, copyOf(datagram), 0, deadlineMs));
    return true;
  }

  private static byte[] copyOf(ByteBuffer datagram) {
    byte[] copy = new byte[datagram.remaining()];
    datagram.get(datagram.position(), copy);
    return copy;
  }

  private void resetOpening(Segment segment, String reason, long nowMs) {
    log.decided(Decision.RESET_NO_TARGET, segment.flow(), 0, reason, ageOfState(nowMs));
    actions.reset(segment.flow(), segment.acknowledged());
  }

  private void forget(BalancerFlow flow) {
    flow.moveTo(null);
    flows.remove(flow.id);
  }

  // ---- segments that an agent gives back ----

  /**
   * Takes a segment that an agent gives back.
   *
   * @param agentAddress the agent's machine
   * @param reason why it gives the segment back
   * @param agentVersion the newest configuration that the agent has seen in effect
   */
  public synchronized void onGivenBack(
      int agentAddress,
      ReturnReason reason,
      long agentVersion,
      Segment segment,
      ByteBuffer datagram,
      long nowMs) {
    if (segment.kind() == Segment.Kind.OPEN) {
      openGivenBack(agentAddress, reason, agentVersion, segment, datagram, nowMs);
    } else {
      notHeld(agentAddress, segment, datagram, nowMs);
    }
  }

  private void openGivenBack(
      int agentAddress,
      ReturnReason reason,
      long agentVersion,
      Segment segment,
      ByteBuffer datagram,
      long nowMs) {
    if (reason == ReturnReason.OLD_CONFIGURATION) {
      waitForConfiguration(agentAddress, agentVersion, segment, datagram, nowMs);
      return;
    }
    BalancerFlow flow = flows.get(segment.flow());
    if (flow == null) {
      return;
    }
    flow.unreturnedOpens--;
    TargetPool pool = pools.ofService(flow.service);
    TargetSlot refusing = pool == null ? null : pool.at(agentAddress);
    if (refusing != null) {
      if (!flow.tried.contains(refusing)) {
        flow.tried.add(refusing);
      }
      if (reason == ReturnReason.SILENT) {
        refusing.suspect(policy.suspicionMs(), nowMs);
      } else if (reason != ReturnReason.FULL) {
        refusing.leave(policy.suspicionMs(), nowMs);
      }
    }
    // Another copy may have been placed elsewhere meanwhile.
    if (flow.target == null || flow.target == refusing) {
      place(flow, segment, datagram, reason.name(), nowMs);
    }
  }

  private void waitForConfiguration(
      int agentAddress, long version, Segment segment, ByteBuffer datagram, long nowMs) {
    BalancerFlow flow = flows.get(segment.flow());
    if (flow != null) {
      flow.unreturnedOpens--;
      if (flow.unreturnedOpens <= 0 && !flow.answered) {
        forget(flow);
      }
    }
    if (version <= state.configuration().version()) {
      open(segment, datagram, nowMs);
      return;
    }
    log.decided(
        Decision.HELD_FOR_CONFIGURATION,
        segment.flow(),
        agentAddress,
        "older-than-agent",
        ageOfState(nowMs));
    if (waitingOpens.size() < MAX_WAITING_OPENS) {
      long deadlineMs = nowMs + CONFIGURATION_WAIT_MS;
      waitingOpens.add(new WaitingOpen(segment, copyOf(datagram), version, deadlineMs));
    }
    actions.catchUp(agentAddress, version);
  }

  private void notHeld(int agentAddress, Segment segment, ByteBuffer datagram, long nowMs) {
    BalancerFlow flow = flows.get(segment.flow());
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
      send(flow, flow.target, datagram);
      return;
    }
    TargetSlot other = takeUntriedAnswer(flow);
    if (other != null) {
      flow.moveTo(other);
      log.decided(
          Decision.LOCATED, flow.id, other.address(), "opened-at-other", nowMs - flow.openedAtMs);
      send(flow, other, datagram);
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

  // ---- flows of unknown place ----

  private void locate(Segment segment, ByteBuffer datagram, long nowMs) {
    ForwardingRoute route = state.configuration().routeOf(segment.flow());
    String service = route == null ? null : route.serviceOf(segment.flow());
    if (service == null) {
      log.decided(Decision.DROPPED_NO_ROUTE, segment.flow(), 0, "not-opening", ageOfState(nowMs));
      return;
    }
    BalancerFlow flow = new BalancerFlow(segment.flow(), service, nowMs);
    flow.answered = true;
    flows.put(flow.id, flow);
    startLocation(flow, segment, datagram, nowMs);
  }

  private void startLocation(BalancerFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    TargetSlot excluded = flow.target;
    flow.moveTo(null);
    flow.confirmed = false;
    Location location = new Location(segment.acknowledged(), nowMs);
    location.hold(datagram, policy.maxHeldSegments());
    flow.location = location;
    locating.add(flow);
    String reason = excluded == null ? "unknown" : "not-held";
    int address = excluded == null ? 0 : excluded.address();
    log.decided(Decision.ASKED, flow.id, address, reason, ageOfState(nowMs));
    ask(flow, nowMs);
  }

  /** Asks every agent whose target may hold a flow, and the other balancers. */
  private void ask(BalancerFlow flow, long nowMs) {
    List<TargetSlot> mayHold = new ArrayList<>();
    for (TargetPool pool : poolsOf(flow)) {
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
      if (isAgentHeard(slot.address(), nowMs)) {
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
  private void askAgentForLocatingFlows(TargetSlot agent, String service, long nowMs) {
    for (BalancerFlow flow : locating) {
      Location location = flow.location;
      ForwardingRoute route = state.configuration().routeOf(flow.id);
      boolean serves = route != null && route.sharesFlowsWith(service);
      if (location == null || !serves || flow.denied.contains(agent.address())) {
        continue;
      }
      TargetSlot slot = slotAt(flow, agent.address());
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
    if (!gone || isAgentHeard(slot.address(), nowMs)) {
      asked.add(slot);
    }
  }

  // A target may serve on though the source never listed it since this balancer has started.
  private void addUnlisted(BalancerFlow flow, List<TargetSlot> asked, long nowMs) {
    ForwardingRoute route = state.configuration().routeOf(flow.id);
    for (HeardAgent agent : heardAgents.values()) {
      boolean denied = flow.denied.contains(agent.slot().address());
      boolean serves =
          route == null
              ? agent.service().equals(flow.service)
              : route.sharesFlowsWith(agent.service());
      if (serves && !denied && isAgentHeard(agent.slot().address(), nowMs)) {
        addIfMayHold(asked, agent.slot(), nowMs);
      }
    }
  }

  /** Returns the pools that may hold a flow: any service that its route shares flows among. */
  private List<TargetPool> poolsOf(BalancerFlow flow) {
    List<TargetPool> found = new ArrayList<>(1);
    ForwardingRoute route = state.configuration().routeOf(flow.id);
    if (route == null) {
      TargetPool pool = pools.ofService(flow.service);
      if (pool != null) {
        found.add(pool);
      }
      return found;
    }
    for (WeightedService part : route.services()) {
      TargetPool pool = pools.ofService(part.service());
      if (pool != null) {
        found.add(pool);
      }
    }
    return found;
  }

  /** Takes an answer of an agent or another balancer about a flow. */
  public synchronized void onKnowledge(
      int peerAddress, FlowId id, FlowKnowledge knowledge, int targetAddress, long nowMs) {
    BalancerFlow flow = flows.get(id);
    if (flow == null || flow.location == null) {
      return;
    }
    Location location = flow.location;
    switch (knowledge) {
      case HELD:
      case KNOWN_ELSEWHERE:
        // Another balancer may believe what this one has just found to be wrong.
        TargetSlot holder =
            flow.denied.contains(targetAddress) ? null : slotAt(flow, targetAddress);
        if (holder != null) {
          flow.confirmed = knowledge == FlowKnowledge.HELD;
          found(flow, holder, "told-by-peer", nowMs);
        }
        break;
      case LOST:
        actions.reset(id, location.acknowledged);
        log.decided(Decision.RESET_LOST, id, peerAddress, "told-by-agent", -1);
        endLocation(flow);
        forget(flow);
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

  @Nullable
  private TargetSlot slotAt(BalancerFlow flow, int address) {
    for (TargetPool pool : poolsOf(flow)) {
      TargetSlot slot = pool.at(address);
      if (slot != null) {
        return slot;
      }
    }
    HeardAgent agent = heardAgents.get(address);
    return agent == null ? null : agent.slot();
  }

  private void found(BalancerFlow flow, TargetSlot holder, String reason, long nowMs) {
    Location location = flow.location;
    endLocation(flow);
    flow.moveTo(holder);
    log.decided(Decision.LOCATED, flow.id, holder.address(), reason, nowMs - flow.lastUsedMs);
    for (byte[] datagram : location.held) {
      send(flow, holder, ByteBuffer.wrap(datagram));
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
    log.decided(Decision.OFFERED, flow.id, candidate.address(), "may-hold", ageOfState(nowMs));
    send(flow, candidate, ByteBuffer.wrap(location.held.get(0)));
  }

  // Each agent has answered for its target, or the target itself has returned a segment: if that
  // holds for all, no target holds the flow, and a reset lets the client try again at once.
  private void notFound(BalancerFlow flow, Location location, long nowMs) {
    boolean learned = nowMs - startedAtMs > policy.learnMs();
    if (location.conclusive && location.absent.isEmpty() && learned) {
      log.decided(Decision.RESET_LOST, flow.id, 0, "held-by-none", ageOfState(nowMs));
      actions.reset(flow.id, location.acknowledged);
    } else if (nowMs - location.startedAtMs < policy.searchMs()) {
      // An agent that starts meanwhile is asked when it is first heard from.
      location.deadlineMs = nowMs + policy.searchPauseMs();
      return;
    } else {
      log.decided(Decision.NOT_FOUND, flow.id, 0, "nobody-knows", ageOfState(nowMs));
    }
    endLocation(flow);
    forget(flow);
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

  /** Answers another balancer: the address of the target that holds a flow, 0 if unknown. */
  public synchronized int knownTarget(FlowId id) {
    BalancerFlow flow = flows.get(id);
    boolean known = flow != null && flow.target != null && flow.confirmed && flow.location == null;
    return known ? flow.target.address() : 0;
  }

  // ---- time ----

  /** Handles what is due; called every few tens of milliseconds. */
  public synchronized void onTick(long nowMs) {
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
    endWaits(nowMs);
  }

  private void endWaits(long nowMs) {
    for (Iterator<WaitingOpen> all = waitingOpens.iterator(); all.hasNext(); ) {
      WaitingOpen open = all.next();
      if (open.deadlineMs() <= nowMs) {
        all.remove();
        if (open.version() == 0) {
          resetOpening(open.segment(), "no-target-came", nowMs);
        }
      }
    }
  }

  /** Forgets flows that have ended or rested for long; called about once a second. */
  public synchronized void onSweep(long nowMs) {
    for (Iterator<BalancerFlow> all = flows.values().iterator(); all.hasNext(); ) {
      BalancerFlow flow = all.next();
      int memoryMs = flow.closed ? policy.closedLingerMs() : policy.flowMemoryMs();
      if (flow.location == null && nowMs - flow.lastUsedMs > memoryMs) {
        flow.moveTo(null);
        all.remove();
      }
    }
  }

  /** Returns the number of flows that this balancer remembers. */
  public synchronized int flowCount() {
    return flows.size();
  }

  private long ageOfState(long nowMs) {
    return nowMs - stateAtMs;
  }
}
