package io.moorstage.core.agent;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.RetentionSettings;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongToDoubleFunction;
import javax.annotation.Nullable;

/**
 * An agent's table of flows with their pending openings and requests, and the ways in which a flow
 * leaves it: given back to its balancer, reset, or expired. Guarded by the lock of {@link
 * FlowAgent}.
 */
final class AgentFlows {
  private final AgentTarget target;
  private final AgentActions actions;
  private final DecisionLog log;
  private final RetentionSettings retention;
  private final long startedAtMs;
  private final Map<FlowId, AgentFlow> flows = new HashMap<>();
  private final HeldFlowCount held = new HeldFlowCount();
  private final PendingOpenings openings;
  private final RequestQueue requests;

  AgentFlows(
      ForwardingPolicy policy,
      AgentTarget target,
      AgentActions actions,
      DecisionLog log,
      LongToDoubleFunction serviceMs,
      long nowMs) {
    this.target = target;
    this.actions = actions;
    this.log = log;
    this.retention = policy.retention();
    this.startedAtMs = nowMs;
    this.openings = new PendingOpenings(policy.opening().responseTimeoutMs());
    this.requests = new RequestQueue(policy, target.serviceTimes(), serviceMs, this::deliver);
  }

  /** Returns the requests of all flows. */
  RequestQueue requests() {
    return requests;
  }

  @Nullable
  AgentFlow get(FlowId id) {
    return flows.get(id);
  }

  int count() {
    return flows.size();
  }

  /** Returns the number of open flows that the target holds. */
  int heldCount() {
    return held.count();
  }

  /** Returns a snapshot of all flows. */
  List<AgentFlow> all() {
    return List.copyOf(flows.values());
  }

  void add(AgentFlow flow) {
    flows.put(flow.id(), flow);
    flow.setHeldCount(held);
  }

  /** Adds a flow whose opening segment is being delivered to the target. */
  void addOpening(AgentFlow flow) {
    add(flow);
    openings.add(flow);
  }

  /**
   * Returns whether the table is authoritative: the agent has run for longer than the lifetime of a
   * flow, so its target holds no flow that the agent has no entry for.
   */
  boolean isAuthoritative(long nowMs) {
    return nowMs - startedAtMs > retention.flowMs();
  }

  /** Delivers a segment that the target has to respond to. */
  void deliver(ByteBuffer datagram, long nowMs) {
    target.onDelivered(nowMs);
    actions.deliver(datagram);
  }

  /** Removes a flow's entry and drops its request. */
  void remove(AgentFlow flow, long nowMs) {
    requests.drop(flow, nowMs);
    flow.clearOpening();
    flow.setHeldCount(null);
    flows.remove(flow.id());
  }

  /** Gives a segment back to the balancer that forwarded it. */
  void giveBack(int balancerAddress, GiveBackReason reason, Segment segment, ByteBuffer datagram) {
    log.decided(Decision.GAVE_BACK, segment.flow(), balancerAddress, reason.name(), -1);
    actions.giveBack(balancerAddress, reason, target.admission().configurationVersion(), datagram);
  }

  /** Resets a flow that the target held and has lost, since no other target can serve it. */
  void resetLost(AgentFlow flow, int acknowledged, String reason, long nowMs) {
    flow.markLost();
    requests.drop(flow, nowMs);
    log.decided(Decision.RESET_LOST, flow.id(), flow.balancerAddress(), reason, -1);
    actions.reset(flow.id(), acknowledged);
  }

  /** Gives back the openings that the target has not responded to within the response timeout. */
  void giveBackOverdueOpenings(long nowMs) {
    for (AgentFlow flow = openings.pollOverdue(nowMs);
        flow != null;
        flow = openings.pollOverdue(nowMs)) {
      giveBackOpening(flow, flow.unansweredOpening(), GiveBackReason.SILENT, nowMs);
    }
  }

  /** Gives back an opening that the target has not responded to; a late response is dropped. */
  void giveBackOpening(AgentFlow flow, byte[] opening, GiveBackReason reason, long nowMs) {
    flow.withdraw();
    requests.stopExpectingRequest(flow, nowMs);
    int balancerAddress = flow.balancerAddress();
    long ageMs = nowMs - flow.openedAtMs();
    log.decided(Decision.GAVE_BACK, flow.id(), balancerAddress, reason.name(), ageMs);
    long version = target.admission().configurationVersion();
    actions.giveBack(balancerAddress, reason, version, ByteBuffer.wrap(opening));
  }

  /** Removes closed and idle flows whose retention period has expired. */
  void sweep(long nowMs) {
    List<AgentFlow> expired = new ArrayList<>();
    for (AgentFlow flow : flows.values()) {
      int retentionMs = flow.isClosed() ? retention.closedFlowMs() : retention.flowMs();
      if (nowMs - flow.lastUsedMs() > retentionMs) {
        expired.add(flow);
      }
    }
    // A dropped request may start a waiting opening, which adds a flow to the table.
    for (AgentFlow flow : expired) {
      // The drop of another flow may have replaced the entry by that of a new opening.
      flows.remove(flow.id(), flow);
      flow.setHeldCount(null);
      requests.drop(flow, nowMs);
    }
    requests.admissionQueue().sweep(nowMs);
  }
}
