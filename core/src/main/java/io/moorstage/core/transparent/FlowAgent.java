package io.moorstage.core.transparent;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The decisions of an agent: what its target gets, and what goes back to the balancers. Thread-safe:
 * each call holds the agent's lock.
 */
public final class FlowAgent {
  private final ForwardingPolicy policy;
  private final String service;
  private final AgentActions actions;
  private final DecisionLog log;
  private final long startedAtMs;
  private final Map<FlowId, AgentFlow> flows = new HashMap<>();
  private final Deque<AgentFlow> opening = new ArrayDeque<>();
  private long seenConfigurationVersion;
  private TargetPhase phase = TargetPhase.READY;
  private long phaseRevision;
  private int busyFlows;

  /**
   * Creates an agent that knows no flow.
   *
   * @param policy times and bounds
   * @param service the service of the agent's target
   * @param actions takes what is decided
   * @param log takes each decision
   * @param nowMs the time of the start
   */
  public FlowAgent(
      ForwardingPolicy policy,
      String service,
      AgentActions actions,
      DecisionLog log,
      long nowMs) {
    this.policy = policy;
    this.service = service;
    this.actions = actions;
    this.log = log;
    this.startedAtMs = nowMs;
  }

  /**
   * Takes what a balancer knows of the target.
   *
   * @param newPhase how far the target is in its life
   * @param revision the source's revision at which the balancer knew it
   * @return whether the phase has changed
   */
  public synchronized boolean onPhase(TargetPhase newPhase, long revision) {
    if (revision < phaseRevision) {
      return false;
    }
    phaseRevision = revision;
    boolean changed = phase != newPhase;
    phase = newPhase;
    return changed;
  }

  /** Returns how far the target is in its life, as far as the agent knows. */
  public synchronized TargetPhase phase() {
    return phase;
  }

  /** Returns how many flows have a request in progress. */
  public synchronized int busyFlows() {
    return busyFlows;
  }

  /** Returns the number of flows that the agent remembers. */
  public synchronized int flowCount() {
    return flows.size();
  }

  /**
   * Takes a client's segment that a balancer forwards.
   *
   * @param balancerAddress the balancer's machine
   * @param flowService the service that the balancer takes the flow to belong to
   * @param configurationVersion the configuration that the balancer decided by
   */
  public synchronized void onForwarded(
      int balancerAddress,
      String flowService,
      long configurationVersion,
      Segment segment,
      ByteBuffer datagram,
      long nowMs) {
    if (segment.kind() == Segment.Kind.OPEN) {
      open(balancerAddress, flowService, configurationVersion, segment, datagram, nowMs);
      return;
    }
    AgentFlow flow = flows.get(segment.flow());
    if (flow == null) {
      if (!flowService.equals(service) || knowsAllFlows(nowMs)) {
        giveBack(balancerAddress, ReturnReason.NOT_HELD, segment, datagram);
        return;
      }
      flow = new AgentFlow(segment.flow(), AgentFlow.Stage.OFFERED, balancerAddress, nowMs);
      flows.put(flow.id, flow);
    } else if (flow.stage == AgentFlow.Stage.WITHDRAWN) {
      giveBack(balancerAddress, ReturnReason.NOT_HELD, segment, datagram);
      return;
    }
    flow.balancerAddress = balancerAddress;
    flow.lastUsedMs = nowMs;
    if (segment.dataBytes() > 0) {
      setBusy(flow, true);
    }
    noteEnd(flow, segment);
    actions.deliver(datagram);
  }

  private boolean knowsAllFlows(long nowMs) {
    return nowMs - startedAtMs > policy.flowMemoryMs();
  }

  private void open(
      int balancerAddress,
      String flowService,
      long configurationVersion,
      Segment segment,
      ByteBuffer datagram,
      long nowMs) {
    if (!flowService.equals(service)) {
      giveBack(balancerAddress, ReturnReason.OTHER_SERVICE, segment, datagram);
      return;
    }
    if (configurationVersion < seenConfigurationVersion) {
      giveBack(balancerAddress, ReturnReason.OLD_CONFIGURATION, segment, datagram);
      return;
    }
    seenConfigurationVersion = configurationVersion;
    if (phase != TargetPhase.READY) {
      giveBack(balancerAddress, ReturnReason.LEAVING, segment, datagram);
      return;
    }
    AgentFlow flow = flows.get(segment.flow());
    boolean known =
        flow != null
            && (flow.stage == AgentFlow.Stage.ACCEPTED || flow.stage == AgentFlow.Stage.OPEN);
    if (!known) {
      if (flow != null) {
        forget(flow);
      }
      flow = new AgentFlow(segment.flow(), AgentFlow.Stage.OPENING, balancerAddress, nowMs);
      flow.openSegment = copyOf(datagram);
      flows.put(flow.id, flow);
      opening.add(flow);
    }
    flow.balancerAddress = balancerAddress;
    flow.lastUsedMs = nowMs;
    log.decided(Decision.DELIVERED, flow.id, balancerAddress, "open", -1);
    actions.deliver(datagram);
  }

  private static byte[] copyOf(ByteBuffer datagram) {
    byte[] copy = new byte[datagram.remaining()];
    datagram.get(datagram.position(), copy);
    return copy;
  }

  private void giveBack(
      int balancerAddress, ReturnReason reason, Segment segment, ByteBuffer datagram) {
    log.decided(Decision.GAVE_BACK, segment.flow(), balancerAddress, reason.name(), -1);
    actions.giveBack(balancerAddress, reason, seenConfigurationVersion, datagram);
  }

  private void setBusy(AgentFlow flow, boolean busy) {
    if (flow.busy != busy) {
      flow.busy = busy;
      busyFlows += busy ? 1 : -1;
    }
  }

  private void noteEnd(AgentFlow flow, Segment segment) {
    if (segment.kind() == Segment.Kind.CLOSE || segment.kind() == Segment.Kind.RESET) {
      flow.closed = true;
      setBusy(flow, false);
    }
  }

  private void forget(AgentFlow flow) {
    setBusy(flow, false);
    flow.openSegment = null;
    flows.remove(flow.id);
  }

  /**
   * Takes a segment from the target: its own, or a client's that it returns.
   *
   * @param datagram the segment; a returned one no longer bears the mark of the return
   */
  public synchronized void onTargetSegment(Segment segment, ByteBuffer datagram, long nowMs) {
    AgentFlow flow = flows.get(segment.flow());
    if (segment.returned()) {
      returned(flow, segment, datagram);
      return;
    }
    if (flow == null) {
      // The agent was restarted; the target tells by its segments which flows it holds.
      flow = new AgentFlow(segment.flow(), AgentFlow.Stage.OPEN, 0, nowMs);
      flows.put(flow.id, flow);
    }
    if (flow.stage == AgentFlow.Stage.WITHDRAWN) {
      return;
    }
    flow.openSegment = null;
    flow.lastUsedMs = nowMs;
    if (segment.kind() != Segment.Kind.OPEN_ACCEPTED) {
      flow.stage = AgentFlow.Stage.OPEN;
    } else if (flow.stage == AgentFlow.Stage.OPENING) {
      flow.stage = AgentFlow.Stage.ACCEPTED;
    }
    if (segment.dataBytes() > 0) {
      setBusy(flow, false);
    }
    noteEnd(flow, segment);
    actions.sendToClient(segment.flow(), datagram);
  }

  private void returned(AgentFlow flow, Segment segment, ByteBuffer datagram) {
    if (flow == null) {
      log.decided(Decision.RETURNED, segment.flow(), 0, "flow-unknown", -1);
      return;
    }
    if (segment.kind() == Segment.Kind.OPEN) {
      int balancerAddress = flow.balancerAddress;
      forget(flow);
      giveBack(balancerAddress, ReturnReason.FULL, segment, datagram);
      return;
    }
    if (flow.stage == AgentFlow.Stage.OPEN || flow.stage == AgentFlow.Stage.LOST) {
      // The target held the flow and no longer does: nothing can serve it any more.
      flow.stage = AgentFlow.Stage.LOST;
      setBusy(flow, false);
      log.decided(Decision.RESET_LOST, flow.id, flow.balancerAddress, "returned", -1);
      actions.reset(flow.id, segment.acknowledged());
      return;
    }
    int balancerAddress = flow.balancerAddress;
    if (flow.stage == AgentFlow.Stage.OFFERED) {
      forget(flow);
    }
    giveBack(balancerAddress, ReturnReason.NOT_HELD, segment, datagram);
  }

  /** Answers a balancer that asks for a flow. */
  public synchronized FlowKnowledge onAsked(FlowId id, long nowMs) {
    AgentFlow flow = flows.get(id);
    if (flow == null || flow.stage == AgentFlow.Stage.OFFERED) {
      return knowsAllFlows(nowMs) ? FlowKnowledge.NOT_HELD : FlowKnowledge.UNKNOWN;
    }
    if (flow.stage == AgentFlow.Stage.LOST) {
      return FlowKnowledge.LOST;
    }
    boolean withdrawn = flow.stage == AgentFlow.Stage.WITHDRAWN;
    return withdrawn ? FlowKnowledge.NOT_HELD : FlowKnowledge.HELD;
  }

  /** Gives back opening segments that the target leaves unanswered. */
  public synchronized void onTick(long nowMs) {
    while (!opening.isEmpty()) {
      AgentFlow flow = opening.peek();
      if (nowMs - flow.openedAtMs < policy.silenceMs()) {
        return;
      }
      opening.poll();
      if (flow.stage == AgentFlow.Stage.OPENING && flow.openSegment != null) {
        ByteBuffer datagram = ByteBuffer.wrap(flow.openSegment);
        flow.stage = AgentFlow.Stage.WITHDRAWN;
        flow.openSegment = null;
        log.decided(
            Decision.GAVE_BACK,
            flow.id,
            flow.balancerAddress,
            ReturnReason.SILENT.name(),
            nowMs - flow.openedAtMs);
        actions.giveBack(
            flow.balancerAddress, ReturnReason.SILENT, seenConfigurationVersion, datagram);
      }
    }
  }

  /** Forgets flows that have ended or rested for long; called about once a second. */
  public synchronized void onSweep(long nowMs) {
    for (Iterator<AgentFlow> all = flows.values().iterator(); all.hasNext(); ) {
      AgentFlow flow = all.next();
      int memoryMs = flow.closed ? policy.closedLingerMs() : policy.flowMemoryMs();
      if (nowMs - flow.lastUsedMs > memoryMs) {
        setBusy(flow, false);
        all.remove();
      }
    }
  }
}
