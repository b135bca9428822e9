package io.moorstage.core.agent;

import io.moorstage.core.flow.Datagrams;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The requests of an agent's flows: which are in progress at the target, and which wait for it as
 * {@link RequestGate} decides. Guarded by the lock of {@link FlowAgent}.
 */
final class RequestQueue {
  /** A client has at most so many segments under way. */
  private static final int MAX_WAITING_SEGMENTS = 16;

  /**
   * Below the 200 ms after which a client repeats: a request that comes sooner is no repetition.
   */
  private static final int JUST_OPENED_MS = 150;

  /**
   * Where a request's time-out is shorter, one that has waited is given up by its client and done
   * in vain: letting all wait cost a deployment with short time-outs 0.10 of its score, and gained
   * one with long ones 0.03 (one trial each, against 2.5 waits).
   */
  private static final double MIN_TIMEOUT_TO_WAIT_RATIO = 2.0;

  private final boolean queueingEnabled;
  private final double minTimeoutMs;
  private final int staleAfterMs;
  private final RequestGate gate;
  private final Delivery delivery;
  private int waitingFlows;

  /** Hands segments to the target. */
  interface Delivery {
    /** Delivers a segment of a request. */
    void deliver(ByteBuffer datagram, long nowMs);
  }

  RequestQueue(ForwardingPolicy policy, Delivery delivery) {
    this.queueingEnabled = policy.uses(Mechanism.GATE);
    this.minTimeoutMs = MIN_TIMEOUT_TO_WAIT_RATIO * policy.requests().waitMs();
    this.staleAfterMs = policy.requests().forgetMs();
    this.gate = new RequestGate(policy, 0);
    this.delivery = delivery;
  }

  /** Takes the number of requests that the target works on at a time. */
  void setCapacity(int capacity) {
    gate.setCapacity(capacity);
  }

  /** Returns how many flows have a request in progress or waiting. */
  int busyFlows() {
    return gate.inProgress() + waitingFlows;
  }

  /** Returns the flow whose request has been in progress for longest, or null if there is none. */
  AgentFlow oldest() {
    return gate.oldest();
  }

  /** Takes a client's segment; returns whether it waits, and is not to be delivered now. */
  boolean enqueueIfRequired(
      AgentFlow flow, int timeoutMs, Segment segment, ByteBuffer datagram, long nowMs) {
    if (flow.isWaiting()) {
      return addToWaitingRequest(flow, segment, datagram, nowMs);
    }
    boolean startsRequest = segment.dataBytes() > 0 && !flow.isBusy() && !flow.isClosed();
    boolean hasTime = timeoutMs >= minTimeoutMs;
    if (!startsRequest || !hasTime || gate.isOpen() || !queueingEnabled) {
      return false;
    }
    if (!flow.recordClientData(segment)) {
      return false;
    }
    flow.beginWaiting(Datagrams.copyOf(datagram), nowMs);
    waitingFlows++;
    gate.add(flow, isKnownToBeNew(flow, nowMs));
    return true;
  }

  private boolean addToWaitingRequest(
      AgentFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    if (segment.kind() == Segment.Kind.RESET) {
      cancelWaiting(flow);
      return false;
    }
    if (segment.dataBytes() == 0 && segment.kind() == Segment.Kind.DATA) {
      return false;
    }
    boolean isNew = segment.kind() == Segment.Kind.CLOSE || flow.recordClientData(segment);
    if (isNew && flow.waitingSegmentCount() < MAX_WAITING_SEGMENTS) {
      flow.addWaitingSegment(Datagrams.copyOf(datagram));
    }
    if (segment.kind() == Segment.Kind.CLOSE) {
      // Nobody waits for the answer any more. The target, which learns so at once, drops the
      // request.
      flow.markClosed();
      release(flow, nowMs);
    }
    return true;
  }

  // A request is new if the agent has seen its flow open just now at the first attempt, or has seen
  // the answer before it; any other may be a repetition.
  private static boolean isKnownToBeNew(AgentFlow flow, long nowMs) {
    boolean openedRecently = nowMs - flow.openedAtMs() < JUST_OPENED_MS;
    boolean atFirstAttempt =
        flow.stage() == AgentFlow.Stage.ACCEPTED && flow.wasOpenedByFirstCopy();
    return (openedRecently && atFirstAttempt) || flow.isAnswered();
  }

  /** A flow's request no longer waits, and what it has sent is dropped. */
  void cancelWaiting(AgentFlow flow) {
    if (flow.isWaiting()) {
      flow.takeWaitingSegments();
      waitingFlows--;
    }
  }

  /** A request has begun at the target. */
  void begin(AgentFlow flow, long nowMs) {
    if (!flow.isBusy()) {
      flow.beginRequest(nowMs);
      gate.addInProgress(flow);
    }
  }

  /** A request has ended at the target, or is not waited for any more: others take its place. */
  void end(AgentFlow flow, long nowMs) {
    if (!flow.isBusy()) {
      return;
    }
    flow.endRequest();
    gate.removeInProgress();
    for (AgentFlow next = gate.pollNext(nowMs); next != null; next = gate.pollNext(nowMs)) {
      release(next, nowMs);
    }
  }

  /** Drops a flow's request, whether it waits or is in progress. */
  void drop(AgentFlow flow, long nowMs) {
    cancelWaiting(flow);
    end(flow, nowMs);
  }

  private void release(AgentFlow flow, long nowMs) {
    if (!flow.isWaiting()) {
      return;
    }
    List<byte[]> segments = flow.takeWaitingSegments();
    waitingFlows--;
    if (!flow.isClosed()) {
      begin(flow, nowMs);
    }
    for (byte[] segment : segments) {
      delivery.deliver(ByteBuffer.wrap(segment), nowMs);
    }
  }

  /** Forgets requests that were not answered for long, and releases those that waited for long. */
  void onTick(long nowMs) {
    for (AgentFlow flow = gate.pollStale(staleAfterMs, nowMs);
        flow != null;
        flow = gate.pollStale(staleAfterMs, nowMs)) {
      end(flow, nowMs);
    }
    for (AgentFlow flow = gate.pollOverdue(nowMs); flow != null; flow = gate.pollOverdue(nowMs)) {
      release(flow, nowMs);
    }
  }
}
