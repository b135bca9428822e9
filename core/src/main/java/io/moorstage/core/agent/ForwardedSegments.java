package io.moorstage.core.agent;

import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import java.nio.ByteBuffer;
import javax.annotation.Nullable;

/**
 * Handles clients' segments that balancers forward: delivers them to the target, queues them while
 * it is at its limit, or gives them back. Guarded by the lock of {@link FlowAgent}.
 */
final class ForwardedSegments {
  private final String service;
  private final AgentTarget target;
  private final AgentFlows flows;
  private final ForwardedOpenings openings;
  private final AgentActions actions;

  ForwardedSegments(
      String service,
      AgentTarget target,
      AgentFlows flows,
      ForwardedOpenings openings,
      AgentActions actions) {
    this.service = service;
    this.target = target;
    this.flows = flows;
    this.openings = openings;
    this.actions = actions;
  }

  /**
   * Handles a client's segment that a balancer forwards.
   *
   * @param balancerAddress the IPv4 address of the balancer's machine
   */
  void onForwarded(
      int balancerAddress, ForwardTerms terms, Segment segment, ByteBuffer datagram, long nowMs) {
    if (segment.kind() == Segment.Kind.OPEN) {
      openings.onOpening(balancerAddress, terms, segment, datagram, nowMs);
      return;
    }
    openings.discardWaiting(segment.flow());
    AgentFlow flow = findOrOffer(balancerAddress, terms, segment, nowMs);
    if (flow == null) {
      flows.giveBack(balancerAddress, reasonToGiveBack(segment, nowMs), segment, datagram);
      return;
    }
    flow.onForwarded(balancerAddress, nowMs);
    flow.setAcknowledged(segment.acknowledged());
    if (target.hasEnded()) {
      resetOrGiveBack(flow, segment, datagram, nowMs);
    } else if (!flows.requests().enqueueIfRequired(flow, terms, segment, datagram, nowMs)) {
      deliver(flow, segment, datagram, nowMs);
    }
  }

  /**
   * Returns the flow of a segment other than the opening, or null if the target does not hold it.
   * An unknown flow is offered to the target only if the balancer assigns it to the target's
   * service, the agent's table of flows is not authoritative, and the target has not ended.
   */
  @Nullable
  private AgentFlow findOrOffer(
      int balancerAddress, ForwardTerms terms, Segment segment, long nowMs) {
    AgentFlow known = flows.get(segment.flow());
    if (known != null) {
      return known.stage() == AgentFlow.Stage.WITHDRAWN ? null : known;
    }
    if (!terms.service().equals(service) || !mayHoldUnknownFlow(nowMs)) {
      return null;
    }
    AgentFlow offered = AgentFlow.offered(segment.flow(), balancerAddress, nowMs);
    flows.add(offered);
    return offered;
  }

  private boolean mayHoldUnknownFlow(long nowMs) {
    return !flows.isAuthoritative(nowMs) && !target.hasEnded();
  }

  // The target may hold the unknown flow of a segment that was sent for another service: the
  // balancer may not have received the state in which the service at this address has changed.
  private GiveBackReason reasonToGiveBack(Segment segment, long nowMs) {
    boolean isUnknown = flows.get(segment.flow()) == null;
    return isUnknown && mayHoldUnknownFlow(nowMs)
        ? GiveBackReason.OTHER_SERVICE
        : GiveBackReason.NOT_HELD;
  }

  private void deliver(AgentFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    boolean hasData = segment.dataBytes() > 0;
    if (hasData && flow.recordClientData(segment) && !flow.isClosed()) {
      flows.requests().begin(flow, nowMs);
    }
    recordClientEnd(flow, segment, nowMs);
    if (hasData) {
      flows.deliver(datagram, nowMs);
    } else {
      actions.deliver(datagram);
    }
  }

  private void resetOrGiveBack(AgentFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    if (flow.wasHeld()) {
      flows.resetLost(flow, segment.acknowledged(), "target-ended", nowMs);
    } else {
      flows.remove(flow, nowMs);
      flows.giveBack(flow.balancerAddress(), GiveBackReason.NOT_HELD, segment, datagram);
    }
  }

  private void recordClientEnd(AgentFlow flow, Segment segment, long nowMs) {
    if (segment.kind() == Segment.Kind.CLOSE) {
      flow.markClosed();
      flows.requests().stopExpectingRequest(flow, nowMs);
    } else if (segment.kind() == Segment.Kind.RESET) {
      flow.markClosed();
      flows.requests().end(flow, nowMs);
      flows.requests().stopExpectingRequest(flow, nowMs);
    }
  }
}
