package io.moorstage.core.agent;

import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.GiveBackReason;
import java.nio.ByteBuffer;
import javax.annotation.Nullable;

/**
 * Handles segments from the target. Its own segments go to clients. Clients' segments that it
 * returns, because it can't take or does not hold their flow, are given back to the balancer or
 * reset the flow. Guarded by the lock of {@link FlowAgent}.
 */
final class TargetSegments {
  private final AgentTarget target;
  private final AgentFlows flows;
  private final AgentActions actions;
  private final DecisionLog log;

  TargetSegments(AgentTarget target, AgentFlows flows, AgentActions actions, DecisionLog log) {
    this.target = target;
    this.flows = flows;
    this.actions = actions;
    this.log = log;
  }

  /**
   * Handles a segment from the target: one of its own, or a client's segment that it returns.
   *
   * @param datagram the bytes of the segment; the flag that marks a returned one is cleared
   */
  void onTargetSegment(Segment segment, ByteBuffer datagram, long nowMs) {
    target.markAlive();
    AgentFlow flow = flows.get(segment.flow());
    if (segment.returned()) {
      onReturned(flow, segment, datagram, nowMs);
      return;
    }
    if (flow == null) {
      // The agent was restarted: an earlier process has delivered the flow to the target.
      target.onUnknownFlow();
      flow = AgentFlow.ofEarlierProcess(segment.flow(), nowMs);
      flows.add(flow);
    }
    if (flow.stage() == AgentFlow.Stage.WITHDRAWN) {
      return;
    }
    // An earlier process of the agent delivered the opening, or the target holds an offered flow.
    flows.requests().discardWaitingOpening(segment.flow());
    flow.onTargetSegment(segment, nowMs);
    if (flow.pollReport()) {
      actions.reportHeld(flow.balancerAddress(), flow.id());
    }
    flows.requests().onAccepted(flow, nowMs);
    actions.sendToClient(segment.flow(), datagram);
    if (segment.dataBytes() > 0) {
      if (flow.isBusy()) {
        target.onResponse(flow, nowMs);
      }
      flows.requests().end(flow, nowMs);
    }
    recordTargetEnd(flow, segment, nowMs);
    flow.recordTargetData(segment);
  }

  // A target closes after its response, or without a response if the client has given up the
  // request.
  private void recordTargetEnd(AgentFlow flow, Segment segment, long nowMs) {
    boolean ends = segment.kind() == Segment.Kind.CLOSE || segment.kind() == Segment.Kind.RESET;
    if (!ends) {
      return;
    }
    if (flow.isBusy() && !flow.isClosed() && !flow.followsUnseenData(segment)) {
      target.onRequestBrokenOff(flow, nowMs);
    }
    flow.markClosed();
    flows.requests().end(flow, nowMs);
    flows.requests().stopExpectingRequest(flow, nowMs);
  }

  // Handles a segment that the target can't take, or that belongs to a flow it does not hold.
  private void onReturned(
      @Nullable AgentFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    if (flow == null) {
      log.decided(Decision.RETURNED, segment.flow(), 0, "flow-unknown", -1);
      return;
    }
    boolean isOpening = segment.kind() == Segment.Kind.OPEN;
    if (isOpening && flow.stage() == AgentFlow.Stage.WITHDRAWN) {
      // Given back before. The balancer counts the openings that were not given back, and resets
      // the flow when none is left.
      log.decided(Decision.RETURNED, segment.flow(), 0, "given-back-before", -1);
      return;
    }
    if (isOpening) {
      flows.remove(flow, nowMs);
      flows.giveBack(flow.balancerAddress(), GiveBackReason.FULL, segment, datagram);
      return;
    }
    if (flow.wasHeld()) {
      flows.resetLost(flow, segment.acknowledged(), "returned", nowMs);
      return;
    }
    // The flow was offered, or its client continued at another target that had accepted a copy of
    // the opening segment. The entry stays, so that the target gets no further segment of the flow.
    flow.withdraw();
    flows.requests().drop(flow, nowMs);
    flows.giveBack(flow.balancerAddress(), GiveBackReason.NOT_HELD, segment, datagram);
  }
}
