package io.moorstage.core.transparent;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import javax.annotation.Nullable;

/**
 * The decisions of an agent: what its target gets, and what goes back to the balancers.
 * Thread-safe: each call holds the agent's lock.
 */
public final class FlowAgent {
  private static final int MAX_WAITING_SEGMENTS = 16;
  private static final int JUST_OPENED_MS = 150;
  private static final double MIN_TIMEOUT_IN_WAITS = 2.0;

  private final ForwardingPolicy policy;
  private final String service;
  private final AgentActions actions;
  private final DecisionLog log;
  private final long startedAtMs;
  private final Map<FlowId, AgentFlow> flows = new HashMap<>();
  private final Deque<AgentFlow> opening = new ArrayDeque<>();
  private final OpeningAdmission admission;
  private final RequestGate gate;
  private final TargetStart targetStart = new TargetStart();
  private final TargetWatch watch = new TargetWatch();
  private final TargetFitness fitness = new TargetFitness();
  private int waitingFlows;

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
      ForwardingPolicy policy, String service, AgentActions actions, DecisionLog log, long nowMs) {
    this.policy = policy;
    this.service = service;
    this.actions = actions;
    this.log = log;
    this.startedAtMs = nowMs;
    this.gate = new RequestGate(policy, 0);
    this.admission = new OpeningAdmission(service, nowMs);
  }

  /**
   * Takes what a balancer knows of the target.
   *
   * @return whether the target's phase, or the evacuation of its zone, has changed
   */
  public synchronized boolean onTarget(TargetNews news, long nowMs) {
    TargetPhase phaseBefore = admission.phase();
    boolean evacuatedBefore = admission.isEvacuated();
    if (!admission.told(news, nowMs)) {
      return false;
    }
    if (targetStart.told(news.startNumber(), news.tookOver())) {
      watch.heard();
    }
    gate.setCapacity(news.capacity());
    return phaseBefore != admission.phase() || evacuatedBefore != admission.isEvacuated();
  }

  /** Returns how far the target is in its life, as far as the agent knows. */
  public synchronized TargetPhase phase() {
    return admission.phase();
  }

  /**
   * Takes the outcome of a check that {@link AgentActions#checkTarget} has asked for.
   *
   * @param refused whether the machine has refused the connection: no process has the port
   */
  public synchronized void onTargetCheck(boolean refused, long nowMs) {
    if (!watch.checked(refused, nowMs)) {
      return;
    }
    for (AgentFlow flow : List.copyOf(flows.values())) {
      if (flow.stage == AgentFlow.Stage.OPENING && flow.openSegment != null) {
        giveBackOpening(flow, ReturnReason.ENDED, nowMs);
      } else if (flow.stage != AgentFlow.Stage.OPEN) {
        // It may be held elsewhere: what the client sends next goes back to the balancer.
        forget(flow, nowMs);
      } else if (flow.busy || flow.waiting != null) {
        resetLost(flow, flow.acknowledged, "target-ended", nowMs);
      }
    }
  }

  /** Returns whether the target has broken off requests of late, or answers none. */
  public synchronized boolean isTargetUnfit() {
    return fitness.isUnfit() && policy.uses(Mechanism.OUTLIER_DETECTION);
  }

  /** Returns whether the target's process has ended, as far as the agent knows. */
  public synchronized boolean hasTargetEnded() {
    return watch.hasEnded();
  }

  /** Returns how many flows have a request in progress. */
  public synchronized int busyFlows() {
    return gate.inProgress() + waitingFlows;
  }

  /** Returns the number of flows that the agent remembers. */
  public synchronized int flowCount() {
    return flows.size();
  }

  /**
   * Takes a client's segment that a balancer forwards.
   *
   * @param balancerAddress the balancer's machine
   */
  public synchronized void onForwarded(
      int balancerAddress, ForwardTerms terms, Segment segment, ByteBuffer datagram, long nowMs) {
    if (segment.kind() == Segment.Kind.OPEN) {
      open(balancerAddress, terms, segment, datagram, nowMs);
      return;
    }
    AgentFlow flow = flows.get(segment.flow());
    if (flow == null) {
      if (!terms.service().equals(service) || knowsAllFlows(nowMs) || watch.hasEnded()) {
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
    flow.acknowledged = segment.acknowledged();
    if (watch.hasEnded()) {
      resetOrGiveBack(flow, segment, datagram, nowMs);
      return;
    }
    if (mustWait(flow, terms.timeoutMs(), segment, datagram, nowMs)) {
      return;
    }
    if (segment.dataBytes() > 0 && noteClientData(flow, segment) && !flow.closed) {
      setBusy(flow, true, nowMs);
    }
    noteClientEnd(flow, segment, nowMs);
    if (segment.dataBytes() > 0) {
      watch.delivered(nowMs);
    }
    actions.deliver(datagram);
  }

  private void resetOrGiveBack(AgentFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    boolean wasHeld = flow.stage == AgentFlow.Stage.OPEN || flow.stage == AgentFlow.Stage.LOST;
    if (wasHeld) {
      resetLost(flow, segment.acknowledged(), "target-ended", nowMs);
    } else {
      forget(flow, nowMs);
      giveBack(flow.balancerAddress, ReturnReason.NOT_HELD, segment, datagram);
    }
  }

  /**
   * Notes how far the client's data has come; returns whether the segment brings any that is new.
   */
  private static boolean noteClientData(AgentFlow flow, Segment segment) {
    int end = segment.sequence() + segment.dataBytes();
    boolean isNew = !flow.clientSequenceKnown || end - flow.clientSequence > 0;
    if (isNew) {
      flow.clientSequence = end;
      flow.clientSequenceKnown = true;
    }
    return isNew;
  }

  private boolean mustWait(
      AgentFlow flow, int timeoutMs, Segment segment, ByteBuffer datagram, long nowMs) {
    if (flow.waiting != null) {
      return keepWaiting(flow, segment, datagram, nowMs);
    }
    boolean begins = segment.dataBytes() > 0 && !flow.busy && !flow.closed;
    // Where time is short, a request that waits is given up by its client and done in vain.
    boolean hasTime = timeoutMs >= MIN_TIMEOUT_IN_WAITS * policy.requestWaitMs();
    if (!begins || !hasTime || gate.isOpen() || !policy.uses(Mechanism.GATE)) {
      return false;
    }
    if (!noteClientData(flow, segment)) {
      return false;
    }
    flow.waiting = new ArrayList<>(1);
    flow.waiting.add(BalancerFlow.copyOf(datagram));
    waitingFlows++;
    gate.add(flow, isKnownToBeNew(flow, nowMs), nowMs);
    return true;
  }

  private boolean keepWaiting(AgentFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    if (segment.kind() == Segment.Kind.RESET) {
      stopWaiting(flow);
      return false;
    }
    if (segment.dataBytes() == 0 && segment.kind() == Segment.Kind.DATA) {
      return false;
    }
    boolean isNew = segment.kind() == Segment.Kind.CLOSE || noteClientData(flow, segment);
    if (isNew && flow.waiting.size() < MAX_WAITING_SEGMENTS) {
      flow.waiting.add(BalancerFlow.copyOf(datagram));
    }
    if (segment.kind() == Segment.Kind.CLOSE) {
      // Nobody waits for the answer any more. The target, which learns so at once, drops the
      // request.
      flow.closed = true;
      release(flow, nowMs);
    }
    return true;
  }

  private void stopWaiting(AgentFlow flow) {
    if (flow.waiting != null) {
      flow.waiting = null;
      waitingFlows--;
    }
  }

  // A request is new if the agent has seen its flow open just now at the first attempt, or has seen
  // the answer before it; any other may be a repetition.
  private boolean isKnownToBeNew(AgentFlow flow, long nowMs) {
    boolean justOpened =
        flow.stage == AgentFlow.Stage.ACCEPTED
            && flow.openCopy == 0
            && nowMs - flow.openedAtMs < JUST_OPENED_MS;
    return justOpened || flow.answered;
  }

  private void releaseWaiting(long nowMs) {
    for (AgentFlow flow = gate.next(nowMs); flow != null; flow = gate.next(nowMs)) {
      release(flow, nowMs);
    }
  }

  private void release(AgentFlow flow, long nowMs) {
    List<byte[]> segments = flow.waiting;
    stopWaiting(flow);
    if (segments == null) {
      return;
    }
    if (!flow.closed) {
      setBusy(flow, true, nowMs);
    }
    watch.delivered(nowMs);
    for (byte[] segment : segments) {
      actions.deliver(ByteBuffer.wrap(segment));
    }
  }

  private boolean knowsAllFlows(long nowMs) {
    return nowMs - startedAtMs > policy.flowMemoryMs();
  }

  private void open(
      int balancerAddress, ForwardTerms terms, Segment segment, ByteBuffer datagram, long nowMs) {
    ReturnReason refusal = refusalOf(terms, nowMs);
    if (refusal != null) {
      giveBack(balancerAddress, refusal, segment, datagram);
      return;
    }
    AgentFlow flow = flows.get(segment.flow());
    boolean known =
        flow != null
            && (flow.stage == AgentFlow.Stage.ACCEPTED || flow.stage == AgentFlow.Stage.OPEN);
    if (!known) {
      if (flow != null) {
        forget(flow, nowMs);
      }
      flow = new AgentFlow(segment.flow(), AgentFlow.Stage.OPENING, balancerAddress, nowMs);
      flow.openCopy = segment.copy();
      flow.openSegment = BalancerFlow.copyOf(datagram);
      flows.put(flow.id, flow);
      opening.add(flow);
    }
    flow.balancerAddress = balancerAddress;
    flow.lastUsedMs = nowMs;
    log.decided(Decision.DELIVERED, flow.id, balancerAddress, "open", -1);
    watch.delivered(nowMs);
    actions.deliver(datagram);
  }

  @Nullable
  private ReturnReason refusalOf(ForwardTerms terms, long nowMs) {
    if (watch.hasEnded()) {
      return ReturnReason.ENDED;
    }
    boolean mayRefuse = policy.uses(Mechanism.OUTLIER_REFUSAL) && !terms.insists();
    if (mayRefuse && isTargetUnfit() && !fitness.admits(terms.repeatable(), nowMs)) {
      return ReturnReason.UNFIT;
    }
    return admission.refusal(terms, nowMs);
  }

  private void giveBack(
      int balancerAddress, ReturnReason reason, Segment segment, ByteBuffer datagram) {
    log.decided(Decision.GAVE_BACK, segment.flow(), balancerAddress, reason.name(), -1);
    actions.giveBack(balancerAddress, reason, admission.configurationVersion(), datagram);
  }

  private void setBusy(AgentFlow flow, boolean busy, long nowMs) {
    if (flow.busy == busy) {
      return;
    }
    flow.busy = busy;
    if (busy) {
      flow.busySinceMs = nowMs;
      gate.began(flow);
    } else {
      gate.ended();
      releaseWaiting(nowMs);
    }
  }

  private void noteClientEnd(AgentFlow flow, Segment segment, long nowMs) {
    flow.closed |= segment.kind() == Segment.Kind.CLOSE;
    if (segment.kind() == Segment.Kind.RESET) {
      flow.closed = true;
      setBusy(flow, false, nowMs);
    }
  }

  // A target closes after its answer, or without one if its client has given the request up.
  private void noteTargetEnd(AgentFlow flow, Segment segment, long nowMs) {
    boolean ends = segment.kind() == Segment.Kind.CLOSE || segment.kind() == Segment.Kind.RESET;
    if (!ends) {
      return;
    }
    boolean brokenOff = flow.busy && !flow.closed && !comesBehindData(flow, segment);
    if (brokenOff && fitness.failed(nowMs)) {
      long ageMs = nowMs - flow.busySinceMs;
      log.decided(Decision.TARGET_UNFIT, flow.id, flow.balancerAddress, "broken-off", ageMs);
    }
    flow.closed = true;
    setBusy(flow, false, nowMs);
  }

  // The short closing segment overtakes the answer now and then; its sequence number tells.
  private static boolean comesBehindData(AgentFlow flow, Segment segment) {
    boolean behind = segment.sequence() - flow.targetSequence > 0;
    return segment.kind() == Segment.Kind.CLOSE && (!flow.targetSequenceKnown || behind);
  }

  private static void noteTargetData(AgentFlow flow, Segment segment) {
    int opening = segment.kind() == Segment.Kind.OPEN_ACCEPTED ? 1 : 0;
    int end = segment.sequence() + segment.dataBytes() + opening;
    if (!flow.targetSequenceKnown || end - flow.targetSequence > 0) {
      flow.targetSequence = end;
      flow.targetSequenceKnown = true;
    }
  }

  private void forget(AgentFlow flow, long nowMs) {
    stopWaiting(flow);
    setBusy(flow, false, nowMs);
    flow.openSegment = null;
    flows.remove(flow.id);
  }

  /**
   * Takes a segment from the target: its own, or a client's that it returns.
   *
   * @param datagram the segment; a returned one no longer bears the mark of the return
   */
  public synchronized void onTargetSegment(Segment segment, ByteBuffer datagram, long nowMs) {
    watch.heard();
    AgentFlow flow = flows.get(segment.flow());
    if (segment.returned()) {
      returned(flow, segment, datagram, nowMs);
      return;
    }
    if (flow == null) {
      // The agent was restarted; the target tells by its segments which flows it holds.
      targetStart.heldUnknownFlow();
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
    actions.sendToClient(segment.flow(), datagram);
    if (segment.dataBytes() > 0) {
      flow.answered = true;
      if (flow.busy) {
        watch.answered(nowMs - flow.busySinceMs);
        fitness.succeeded(nowMs);
      }
      setBusy(flow, false, nowMs);
    }
    noteTargetEnd(flow, segment, nowMs);
    noteTargetData(flow, segment);
  }

  private void returned(AgentFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    if (flow == null) {
      log.decided(Decision.RETURNED, segment.flow(), 0, "flow-unknown", -1);
      return;
    }
    if (segment.kind() == Segment.Kind.OPEN) {
      int balancerAddress = flow.balancerAddress;
      forget(flow, nowMs);
      giveBack(balancerAddress, ReturnReason.FULL, segment, datagram);
      return;
    }
    if (flow.stage == AgentFlow.Stage.OPEN || flow.stage == AgentFlow.Stage.LOST) {
      resetLost(flow, segment.acknowledged(), "returned", nowMs);
      return;
    }
    int balancerAddress = flow.balancerAddress;
    if (flow.stage == AgentFlow.Stage.OFFERED) {
      forget(flow, nowMs);
    } else {
      // The client went on at another target that had accepted a copy of the opening segment.
      flow.stage = AgentFlow.Stage.WITHDRAWN;
      stopWaiting(flow);
      setBusy(flow, false, nowMs);
    }
    giveBack(balancerAddress, ReturnReason.NOT_HELD, segment, datagram);
  }

  /** The target held the flow and no longer does: nothing can serve it any more. */
  private void resetLost(AgentFlow flow, int acknowledged, String reason, long nowMs) {
    flow.stage = AgentFlow.Stage.LOST;
    stopWaiting(flow);
    setBusy(flow, false, nowMs);
    log.decided(Decision.RESET_LOST, flow.id, flow.balancerAddress, reason, -1);
    actions.reset(flow.id, acknowledged);
  }

  /** Answers a balancer that asks for a flow. */
  public synchronized FlowKnowledge onAsked(FlowId id, long nowMs) {
    AgentFlow flow = flows.get(id);
    if (flow == null || flow.stage == AgentFlow.Stage.OFFERED) {
      if (knowsAllFlows(nowMs) || watch.hasEnded()) {
        return FlowKnowledge.NOT_HELD;
      }
      return targetStart.wasBesideAgent() ? FlowKnowledge.UNLIKELY : FlowKnowledge.UNKNOWN;
    }
    switch (flow.stage) {
      case LOST:
        return FlowKnowledge.LOST;
      case WITHDRAWN:
        return FlowKnowledge.NOT_HELD;
      case OPEN:
        return watch.hasEnded() ? FlowKnowledge.LOST : FlowKnowledge.HELD;
      default:
        return watch.hasEnded() ? FlowKnowledge.NOT_HELD : FlowKnowledge.HELD;
    }
  }

  /** Handles what is due; called every few tens of milliseconds. */
  public synchronized void onTick(long nowMs) {
    giveBackUnanswered(nowMs);
    noticeStall(nowMs);
    if (watch.takeCheck(nowMs)) {
      actions.checkTarget();
    }
    int forgetMs = policy.requestForgetMs();
    for (AgentFlow flow = gate.stale(forgetMs, nowMs);
        flow != null;
        flow = gate.stale(forgetMs, nowMs)) {
      setBusy(flow, false, nowMs);
    }
    for (AgentFlow flow = gate.overdue(nowMs); flow != null; flow = gate.overdue(nowMs)) {
      release(flow, nowMs);
    }
  }

  private void noticeStall(long nowMs) {
    AgentFlow oldest = gate.oldest();
    if (oldest != null && fitness.noticeStall(oldest.busySinceMs, watch.meanAnswerMs(), nowMs)) {
      long ageMs = nowMs - oldest.busySinceMs;
      log.decided(Decision.TARGET_UNFIT, oldest.id, oldest.balancerAddress, "stalled", ageMs);
    }
  }

  private void giveBackUnanswered(long nowMs) {
    while (!opening.isEmpty()) {
      AgentFlow flow = opening.peek();
      if (nowMs - flow.openedAtMs < policy.silenceMs()) {
        return;
      }
      opening.poll();
      if (flow.stage == AgentFlow.Stage.OPENING && flow.openSegment != null) {
        giveBackOpening(flow, ReturnReason.SILENT, nowMs);
      }
    }
  }

  private void giveBackOpening(AgentFlow flow, ReturnReason reason, long nowMs) {
    ByteBuffer datagram = ByteBuffer.wrap(flow.openSegment);
    flow.stage = AgentFlow.Stage.WITHDRAWN;
    flow.openSegment = null;
    long ageMs = nowMs - flow.openedAtMs;
    log.decided(Decision.GAVE_BACK, flow.id, flow.balancerAddress, reason.name(), ageMs);
    actions.giveBack(flow.balancerAddress, reason, admission.configurationVersion(), datagram);
  }

  /** Forgets flows that have ended or rested for long; called about once a second. */
  public synchronized void onSweep(long nowMs) {
    for (Iterator<AgentFlow> all = flows.values().iterator(); all.hasNext(); ) {
      AgentFlow flow = all.next();
      int memoryMs = flow.closed ? policy.closedLingerMs() : policy.flowMemoryMs();
      if (nowMs - flow.lastUsedMs > memoryMs) {
        stopWaiting(flow);
        setBusy(flow, false, nowMs);
        all.remove();
      }
    }
  }
}
