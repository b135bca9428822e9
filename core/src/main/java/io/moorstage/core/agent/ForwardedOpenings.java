package io.moorstage.core.agent;

import io.moorstage.core.flow.Datagrams;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import javax.annotation.Nullable;

/**
 * Handles openings that balancers forward: delivers them to the target, lets them wait in {@link
 * AdmissionQueue} while it is at its limit, or gives them back. Guarded by the lock of {@link
 * FlowAgent}.
 *
 * <p>An opening that waits uses up its admission by {@link OpeningAdmission}, that is, its place in
 * the limit of a cold target or the probe of an ejected one, only when it is delivered. If it is
 * then not admitted, it is given back with that reason. On arrival it is only checked whether it
 * would be rejected at present.
 */
final class ForwardedOpenings {
  private final AgentTarget target;
  private final AgentFlows flows;
  private final AgentActions actions;
  private final DecisionLog log;

  ForwardedOpenings(AgentTarget target, AgentFlows flows, AgentActions actions, DecisionLog log) {
    this.target = target;
    this.flows = flows;
    this.actions = actions;
    this.log = log;
  }

  /** Handles an opening segment that a balancer forwards. */
  void onOpening(
      int balancerAddress, ForwardTerms terms, Segment segment, ByteBuffer datagram, long nowMs) {
    AdmissionQueue queue = flows.requests().admissionQueue();
    if (queue.waitingOpenings() > 0
        && queue.opening(segment.flow()) instanceof WaitingOpening waiting) {
      // Also without scheduling terms: the waiting opening may be given back later.
      waiting.addCopy(balancerAddress, Datagrams.copyOf(datagram));
    } else if (!flows.requests().isScheduled(terms)) {
      deliverOrGiveBack(balancerAddress, terms, segment, datagram, nowMs);
    } else if (wasDelivered(segment.flow()) || queue.hasPlaceAfterOthers(nowMs)) {
      deliverOrGiveBack(balancerAddress, terms, segment, datagram, nowMs);
    } else {
      enqueue(new WaitingOpening(balancerAddress, terms, segment, datagram, nowMs), nowMs);
    }
  }

  private boolean wasDelivered(FlowId id) {
    AgentFlow flow = flows.get(id);
    return flow != null && (flow.isAcceptedOrOpen() || flow.stage() == AgentFlow.Stage.OPENING);
  }

  private void enqueue(WaitingOpening opening, long nowMs) {
    GiveBackReason reason = target.admission().rejectionReasonIfQueued(opening.terms, nowMs);
    if (reason != null) {
      opening.giveBack(reason, nowMs);
      return;
    }
    FlowId id = opening.segment.flow();
    boolean queued =
        flows
            .requests()
            .admissionQueue()
            .addOpening(
                id,
                opening,
                opening.terms.scheduling(),
                opening.terms.timeoutMs(),
                opening.segment.copy(),
                nowMs);
    if (queued) {
      log.decided(Decision.QUEUED, id, opening.balancerAddress, "target-at-limit", -1);
    } else {
      opening.giveBack(GiveBackReason.OVERLOADED, nowMs);
    }
  }

  /**
   * Discards the waiting opening of a flow: the client has opened the flow at another target, or
   * has given it up. It is not given back, since another target must not get it.
   */
  void discardWaiting(FlowId id) {
    flows.requests().discardWaitingOpening(id);
  }

  private void deliverOrGiveBack(
      int balancerAddress, ForwardTerms terms, Segment segment, ByteBuffer datagram, long nowMs) {
    GiveBackReason reason = target.admission().rejectionReason(terms, nowMs);
    if (reason != null) {
      flows.giveBack(balancerAddress, reason, segment, datagram);
    } else {
      deliver(balancerAddress, segment, datagram, -1, nowMs);
    }
  }

  private void deliver(
      int balancerAddress, Segment segment, ByteBuffer datagram, long waitedMs, long nowMs) {
    AgentFlow flow = flows.get(segment.flow());
    if (flow == null || !flow.isAcceptedOrOpen()) {
      AgentFlow opening =
          AgentFlow.opening(segment, Datagrams.copyOf(datagram), balancerAddress, nowMs);
      // The place is taken before that of an earlier copy is released, which would go to another.
      flows.requests().expectRequest(opening);
      if (flow != null) {
        flows.remove(flow, nowMs);
      }
      flow = opening;
      flows.addOpening(flow);
    }
    flow.onForwarded(balancerAddress, nowMs);
    log.decided(Decision.DELIVERED, flow.id(), balancerAddress, "open", waitedMs);
    flows.deliver(datagram, nowMs);
  }

  /** An opening that waits undelivered, with the copies of it that have arrived since. */
  private final class WaitingOpening implements AdmissionQueue.Waiter {
    private final int balancerAddress;
    private final ForwardTerms terms;
    private final Segment segment;
    private final byte[] datagram;
    private final long waitingSinceMs;
    private final List<Copy> copies = new ArrayList<>(0);

    WaitingOpening(
        int balancerAddress, ForwardTerms terms, Segment segment, ByteBuffer datagram, long nowMs) {
      this.balancerAddress = balancerAddress;
      this.terms = terms;
      this.segment = segment;
      this.datagram = Datagrams.copyOf(datagram);
      this.waitingSinceMs = nowMs;
    }

    void addCopy(int fromBalancer, byte[] copy) {
      copies.add(new Copy(fromBalancer, copy));
    }

    @Override
    public void start(long nowMs) {
      flows.requests().admissionQueue().removeOpening(segment.flow());
      GiveBackReason reason = target.admission().rejectionReason(terms, nowMs);
      if (reason != null) {
        giveBack(reason, nowMs);
      } else {
        long waitedMs = nowMs - waitingSinceMs;
        deliver(balancerAddress, segment, ByteBuffer.wrap(datagram), waitedMs, nowMs);
      }
    }

    @Override
    @Nullable
    public GiveBackReason rejectionReason(long nowMs) {
      return target.admission().rejectionReasonIfQueued(terms, nowMs);
    }

    // The balancer counts the openings of a flow that it has not got back, so each copy is given
    // back.
    @Override
    public void giveBack(GiveBackReason reason, long nowMs) {
      flows.requests().admissionQueue().removeOpening(segment.flow());
      long waitedMs = nowMs - waitingSinceMs;
      log.decided(Decision.GAVE_BACK, segment.flow(), balancerAddress, reason.name(), waitedMs);
      long version = target.admission().configurationVersion();
      actions.giveBack(balancerAddress, reason, version, ByteBuffer.wrap(datagram));
      for (Copy copy : copies) {
        actions.giveBack(copy.balancerAddress(), reason, version, ByteBuffer.wrap(copy.datagram()));
      }
    }
  }

  private record Copy(int balancerAddress, byte[] datagram) {}
}
