package io.moorstage.core.agent;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.FlowKnowledge;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.state.TargetPhase;
import java.nio.ByteBuffer;

/**
 * The decisions of an agent: what its target gets, and what goes back to the balancers.
 * Thread-safe: each call holds the agent's lock.
 */
public final class FlowAgent {
  private final AgentActions actions;
  private final AgentTarget target;
  private final AgentFlows flows;
  private final ForwardedSegments forwardedSegments;
  private final TargetSegments targetSegments;

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
    this.actions = actions;
    this.target = new AgentTarget(policy, service, log, nowMs);
    this.flows = new AgentFlows(policy, target, actions, log, nowMs);
    this.forwardedSegments = new ForwardedSegments(service, target, flows, actions, log);
    this.targetSegments = new TargetSegments(target, flows, actions, log);
  }

  /**
   * Takes what a balancer reports of the target.
   *
   * @return whether the target's phase, or the evacuation of its zone, has changed
   */
  public synchronized boolean onTargetReport(TargetReport report, long nowMs) {
    TargetPhase phaseBefore = target.admission().phase();
    boolean evacuatedBefore = target.admission().isEvacuated();
    if (!target.onReport(report, nowMs)) {
      return false;
    }
    flows.requests().setCapacity(report.capacity());
    return phaseBefore != report.phase() || evacuatedBefore != report.evacuated();
  }

  /** Returns how far the target is in its life, as far as the agent knows. */
  public synchronized TargetPhase phase() {
    return target.admission().phase();
  }

  /**
   * Takes the outcome of a check that {@link AgentActions#checkTarget} has asked for.
   *
   * @param refused whether the machine has refused the connection: no process has the port
   */
  public synchronized void onTargetCheck(boolean refused, long nowMs) {
    if (!target.onCheckResult(refused, nowMs)) {
      return;
    }
    for (AgentFlow flow : flows.all()) {
      onTargetEnded(flow, nowMs);
    }
  }

  private void onTargetEnded(AgentFlow flow, long nowMs) {
    byte[] opening = flow.unansweredOpening();
    if (opening != null) {
      flows.giveBackOpening(flow, opening, GiveBackReason.ENDED, nowMs);
    } else if (flow.stage() != AgentFlow.Stage.OPEN) {
      // It may be held elsewhere: what the client sends next goes back to the balancer.
      flows.remove(flow, nowMs);
    } else if (flow.isBusy() || flow.isWaiting()) {
      flows.resetLost(flow, flow.acknowledged(), "target-ended", nowMs);
    }
  }

  /** Returns whether the target has broken off requests of late, or answers none. */
  public synchronized boolean isTargetUnfit() {
    return target.isUnfit();
  }

  /** Returns whether the target's process has ended, as far as the agent knows. */
  public synchronized boolean hasTargetEnded() {
    return target.hasEnded();
  }

  /** Returns how many flows have a request in progress. */
  public synchronized int busyFlows() {
    return flows.requests().busyFlows();
  }

  /** Returns the number of flows that the agent remembers. */
  public synchronized int flowCount() {
    return flows.count();
  }

  /**
   * Takes a client's segment that a balancer forwards.
   *
   * @param balancerAddress the balancer's machine
   */
  public synchronized void onForwarded(
      int balancerAddress, ForwardTerms terms, Segment segment, ByteBuffer datagram, long nowMs) {
    forwardedSegments.onForwarded(balancerAddress, terms, segment, datagram, nowMs);
  }

  /**
   * Takes a segment from the target: its own, or a client's that it returns.
   *
   * @param datagram the segment; a returned one no longer bears the mark of the return
   */
  public synchronized void onTargetSegment(Segment segment, ByteBuffer datagram, long nowMs) {
    targetSegments.onTargetSegment(segment, datagram, nowMs);
  }

  /** Answers a balancer that asks for a flow. */
  public synchronized FlowKnowledge onQuery(FlowId id, long nowMs) {
    AgentFlow flow = flows.get(id);
    if (flow == null) {
      return answerForUnknownFlow(nowMs);
    }
    return switch (flow.stage()) {
      case OFFERED -> answerForUnknownFlow(nowMs);
      case LOST -> FlowKnowledge.LOST;
      case WITHDRAWN -> FlowKnowledge.NOT_HELD;
      case OPEN -> target.hasEnded() ? FlowKnowledge.LOST : FlowKnowledge.HELD;
      case OPENING, ACCEPTED -> target.hasEnded() ? FlowKnowledge.NOT_HELD : FlowKnowledge.HELD;
    };
  }

  private FlowKnowledge answerForUnknownFlow(long nowMs) {
    if (flows.isAuthoritative(nowMs) || target.hasEnded()) {
      return FlowKnowledge.NOT_HELD;
    }
    return target.startedAfterAgent() ? FlowKnowledge.UNLIKELY : FlowKnowledge.UNKNOWN;
  }

  /** Handles what is due; called every few tens of milliseconds. */
  public synchronized void onTick(long nowMs) {
    flows.giveBackOverdueOpenings(nowMs);
    AgentFlow oldest = flows.requests().oldest();
    if (oldest != null) {
      target.detectStall(oldest, nowMs);
    }
    if (target.pollDueCheck(nowMs)) {
      actions.checkTarget();
    }
    flows.requests().onTick(nowMs);
  }

  /** Forgets flows that have ended or rested for long; called about once a second. */
  public synchronized void onSweep(long nowMs) {
    flows.sweep(nowMs);
  }
}
