package io.moorstage.core.agent;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.MemorySettings;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import javax.annotation.Nullable;

/**
 * The flows that an agent remembers, with their openings and requests, and the ways in which a flow
 * ends here: given back to its balancer, reset, or forgotten. Guarded by the lock of {@link
 * FlowAgent}.
 */
final class AgentFlows {
  private final AgentTarget target;
  private final AgentActions actions;
  private final DecisionLog log;
  private final MemorySettings memory;
  private final long startedAtMs;
  private final Map<FlowId, AgentFlow> flows = new HashMap<>();
  private final PendingOpenings openings;
  private final RequestQueue requests;

  AgentFlows(
      ForwardingPolicy policy,
      AgentTarget target,
      AgentActions actions,
      DecisionLog log,
      long nowMs) {
    this.target = target;
    this.actions = actions;
    this.log = log;
    this.memory = policy.memory();
    this.startedAtMs = nowMs;
    this.openings = new PendingOpenings(policy.opening().answerTimeoutMs());
    this.requests = new RequestQueue(policy, this::deliver);
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

  /** Returns all flows at this moment. */
  List<AgentFlow> all() {
    return List.copyOf(flows.values());
  }

  void add(AgentFlow flow) {
    flows.put(flow.id(), flow);
  }

  /** Adds a flow whose opening segment goes to the target now. */
  void addOpening(AgentFlow flow) {
    add(flow);
    openings.add(flow);
  }

  /** Returns whether the agent has run for so long that its target holds no flow unknown to it. */
  boolean isAuthoritative(long nowMs) {
    return nowMs - startedAtMs > memory.flowMs();
  }

  /** Hands the target something that it answers. */
  void deliver(ByteBuffer datagram, long nowMs) {
    target.onDelivered(nowMs);
    actions.deliver(datagram);
  }

  /** Drops what is known of a flow; its request counts no longer. */
  void remove(AgentFlow flow, long nowMs) {
    requests.drop(flow, nowMs);
    flow.clearOpening();
    flows.remove(flow.id());
  }

  /** Gives a segment back to the balancer that has forwarded it. */
  void giveBack(int balancerAddress, GiveBackReason reason, Segment segment, ByteBuffer datagram) {
    log.decided(Decision.GAVE_BACK, segment.flow(), balancerAddress, reason.name(), -1);
    actions.giveBack(balancerAddress, reason, target.admission().configurationVersion(), datagram);
  }

  /** The target held the flow and no longer does: nothing can serve it any more. */
  void resetLost(AgentFlow flow, int acknowledged, String reason, long nowMs) {
    flow.markLost();
    requests.drop(flow, nowMs);
    log.decided(Decision.RESET_LOST, flow.id(), flow.balancerAddress(), reason, -1);
    actions.reset(flow.id(), acknowledged);
  }

  /** Gives back the openings that the target has not answered in time. */
  void giveBackOverdueOpenings(long nowMs) {
    for (AgentFlow flow = openings.pollOverdue(nowMs);
        flow != null;
        flow = openings.pollOverdue(nowMs)) {
      giveBackOpening(flow, flow.unansweredOpening(), GiveBackReason.SILENT, nowMs);
    }
  }

  /** Gives back an opening that the target has not answered; what it answers late is dropped. */
  void giveBackOpening(AgentFlow flow, byte[] opening, GiveBackReason reason, long nowMs) {
    flow.withdraw();
    int balancerAddress = flow.balancerAddress();
    long ageMs = nowMs - flow.openedAtMs();
    log.decided(Decision.GAVE_BACK, flow.id(), balancerAddress, reason.name(), ageMs);
    long version = target.admission().configurationVersion();
    actions.giveBack(balancerAddress, reason, version, ByteBuffer.wrap(opening));
  }

  /** Forgets flows that have ended or rested for long. */
  void sweep(long nowMs) {
    for (Iterator<AgentFlow> iterator = flows.values().iterator(); iterator.hasNext(); ) {
      AgentFlow flow = iterator.next();
      int retentionMs = flow.isClosed() ? memory.closedFlowMs() : memory.flowMs();
      if (nowMs - flow.lastUsedMs() > retentionMs) {
        requests.drop(flow, nowMs);
        iterator.remove();
      }
    }
  }
}
