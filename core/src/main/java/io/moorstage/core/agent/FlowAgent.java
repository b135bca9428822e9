package io.moorstage.core.agent;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.CapacityReport;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.state.TargetPhase;
import java.nio.ByteBuffer;
import java.util.function.LongToDoubleFunction;
import javax.annotation.Nullable;

/**
 * Decides for each segment whether an agent delivers it to its target, queues it, or gives it back
 * to the balancer that forwarded it. Thread-safe: each call holds the agent's lock.
 */
public final class FlowAgent {
  private final AgentActions actions;
  private final AgentTarget target;
  private final AgentFlows flows;
  private final ForwardedSegments forwardedSegments;
  private final TargetSegments targetSegments;
  private long tickedAtMs;

  /**
   * Creates an agent without any flows.
   *
   * @param policy the timeouts, limits and enabled mechanisms
   * @param service the service of the agent's target
   * @param actions carries out the decisions
   * @param log records each decision
   * @param nowMs the time at which the agent starts, in milliseconds of a monotonic clock
   */
  public FlowAgent(
      ForwardingPolicy policy, String service, AgentActions actions, DecisionLog log, long nowMs) {
    this(policy, service, actions, log, null, nowMs);
  }

  /**
   * Creates an agent without any flows.
   *
   * @param serviceMs the mean time that the target works on a request, at a time in milliseconds;
   *     null to use the agent's own measurement
   */
  FlowAgent(
      ForwardingPolicy policy,
      String service,
      AgentActions actions,
      DecisionLog log,
      @Nullable LongToDoubleFunction serviceMs,
      long nowMs) {
    this.actions = actions;
    this.tickedAtMs = nowMs;
    this.target = new AgentTarget(policy, service, log, nowMs);
    LongToDoubleFunction measuredMs = target.serviceTimes()::meanMs;
    this.flows =
        new AgentFlows(
            policy, target, actions, log, serviceMs == null ? measuredMs : serviceMs, nowMs);
    ForwardedOpenings openings = new ForwardedOpenings(target, flows, actions, log);
    this.forwardedSegments = new ForwardedSegments(service, target, flows, openings, actions);
    this.targetSegments = new TargetSegments(target, flows, actions, log);
  }

  /**
   * Applies a balancer's report on the target; a report older than the last one is ignored.
   *
   * @return whether the target's phase, or the evacuation of its zone, has changed
   */
  public synchronized boolean onTargetReport(TargetReport report, long nowMs) {
    TargetPhase phaseBefore = target.admission().phase();
    boolean evacuatedBefore = target.admission().isEvacuated();
    if (!target.update(report, nowMs)) {
      return false;
    }
    flows.requests().setCapacity(report.capacity(), nowMs);
    GiveBackReason leavingReason = target.admission().leavingReason();
    if (leavingReason != null) {
      flows.requests().admissionQueue().giveBackOpenings(leavingReason, nowMs);
    }
    flows.requests().startWaiting(nowMs);
    // A draining phase is kept against a ready report of the same start.
    return phaseBefore != target.admission().phase() || evacuatedBefore != report.evacuated();
  }

  /**
   * Returns the last reported phase of the target; a draining one is not ready before it restarts.
   */
  public synchronized TargetPhase phase() {
    return target.admission().phase();
  }

  /**
   * Handles the result of a check that {@link AgentActions#checkTarget} has requested.
   *
   * @param refused whether the connection was refused, that is, no process listens on the port
   */
  public synchronized void onTargetCheck(boolean refused, long nowMs) {
    if (!target.onCheckResult(refused, nowMs)) {
      return;
    }
    flows.requests().admissionQueue().giveBackOpenings(GiveBackReason.ENDED, nowMs);
    for (AgentFlow flow : flows.all()) {
      onTargetEnded(flow, nowMs);
    }
  }

  private void onTargetEnded(AgentFlow flow, long nowMs) {
    byte[] opening = flow.unansweredOpening();
    if (opening != null) {
      flows.giveBackOpening(flow, opening, GiveBackReason.ENDED, nowMs);
    } else if (flow.stage() != AgentFlow.Stage.OPEN) {
      // Another target may hold the flow, so the client's next segment is given back to the
      // balancer.
      flows.remove(flow, nowMs);
    } else if (flow.isBusy() || flow.isWaiting()) {
      flows.resetLost(flow, flow.acknowledged(), "target-ended", nowMs);
    } else {
      // The client is told with its next segment, but the target's successor does not hold the
      // flow.
      flow.setHeldCount(null);
    }
  }

  /**
   * Returns whether the target gets no new flows, as of the last tick, because it broke off
   * requests or did not respond to them. Once a probe is due this is false, so that balancers send
   * one.
   */
  public synchronized boolean isTargetEjected() {
    return target.isClosedByEjection(flows.requests().hasPlace(tickedAtMs), tickedAtMs);
  }

  /** Returns whether checks have found that the target's process has ended. */
  public synchronized boolean hasTargetEnded() {
    return target.hasEnded();
  }

  /**
   * Returns the number of flows that have a request in progress or waiting, or an opening waiting.
   */
  public synchronized int busyFlows() {
    return flows.requests().busyFlows();
  }

  /** Returns the number of openings that wait for a place at the target. */
  public synchronized int waitingOpenings() {
    return flows.requests().waitingOpenings();
  }

  /** Returns the number of requests on open flows that wait for a place at the target. */
  public synchronized int waitingRequests() {
    return flows.requests().waitingRequests();
  }

  /**
   * Returns what the agent has measured of its target's capacity, and what it admits, as of the
   * last tick.
   */
  public synchronized CapacityReport capacityReport() {
    return new CapacityReport(
        target.serviceTimes().reportedTenthsMs(tickedAtMs),
        Math.min(flows.heldCount(), CapacityReport.MAX_VALUE),
        flows.requests().admissionQueue().admittedRank(tickedAtMs));
  }

  /** Returns the number of flows that the agent has an entry for. */
  public synchronized int flowCount() {
    return flows.count();
  }

  /**
   * Handles a client's segment that a balancer forwards.
   *
   * @param balancerAddress the IPv4 address of the balancer's machine
   */
  public synchronized void onForwarded(
      int balancerAddress, ForwardTerms terms, Segment segment, ByteBuffer datagram, long nowMs) {
    forwardedSegments.onForwarded(balancerAddress, terms, segment, datagram, nowMs);
  }

  /**
   * Handles a segment from the target: one of its own, or a client's segment that it returns.
   *
   * @param datagram the bytes of the segment; the flag that marks a returned one is cleared
   */
  public synchronized void onTargetSegment(Segment segment, ByteBuffer datagram, long nowMs) {
    boolean ejectedBefore = target.isEjected();
    targetSegments.onTargetSegment(segment, datagram, nowMs);
    giveBackIfNewlyEjected(ejectedBefore, nowMs);
  }

  // Openings that override the ejection continue to wait.
  private void giveBackIfNewlyEjected(boolean ejectedBefore, long nowMs) {
    if (!ejectedBefore && target.isEjected()) {
      flows.requests().admissionQueue().giveBackRejected(nowMs);
    }
  }

  /** Returns the result of a balancer's query whether the target holds a flow. */
  public synchronized FlowQueryResult onQuery(FlowId id, long nowMs) {
    AgentFlow flow = flows.get(id);
    if (flow == null) {
      return resultForUnknownFlow(nowMs);
    }
    return switch (flow.stage()) {
      case OFFERED -> resultForUnknownFlow(nowMs);
      case LOST -> FlowQueryResult.LOST;
      case WITHDRAWN -> FlowQueryResult.NOT_HELD;
      case OPEN -> target.hasEnded() ? FlowQueryResult.LOST : FlowQueryResult.HELD;
      case OPENING, ACCEPTED ->
          target.hasEnded() ? FlowQueryResult.NOT_HELD : resultForUnansweredFlow(flow);
    };
  }

  // The client may have continued at another target that has accepted a copy of the opening.
  private static FlowQueryResult resultForUnansweredFlow(AgentFlow flow) {
    flow.requestReport();
    return FlowQueryResult.KNOWN_ELSEWHERE;
  }

  private FlowQueryResult resultForUnknownFlow(long nowMs) {
    if (flows.isAuthoritative(nowMs) || target.hasEnded()) {
      return FlowQueryResult.NOT_HELD;
    }
    return target.startedAfterAgent() ? FlowQueryResult.UNLIKELY : FlowQueryResult.UNKNOWN;
  }

  /** Handles expired timeouts and starts due checks; called every few tens of milliseconds. */
  public synchronized void onTick(long nowMs) {
    tickedAtMs = nowMs;
    flows.giveBackOverdueOpenings(nowMs);
    AgentFlow oldest = flows.requests().oldest();
    if (oldest != null) {
      boolean ejectedBefore = target.isEjected();
      target.detectStall(oldest, nowMs);
      giveBackIfNewlyEjected(ejectedBefore, nowMs);
    }
    if (target.pollDueCheck(nowMs)) {
      actions.checkTarget();
    }
    flows.requests().onTick(nowMs);
  }

  /** Removes the entries of closed and idle flows that have expired; called about once a second. */
  public synchronized void onSweep(long nowMs) {
    flows.sweep(nowMs);
  }
}
