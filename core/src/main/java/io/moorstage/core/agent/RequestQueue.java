package io.moorstage.core.agent;

import io.moorstage.core.flow.Datagrams;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.LongToDoubleFunction;
import javax.annotation.Nullable;

/**
 * Tracks the requests of an agent's flows: those in progress at the target, and those that wait.
 * With overload control they wait in {@link AdmissionQueue} together with openings, otherwise in
 * the order of {@link RequestGate}. Guarded by the lock of {@link FlowAgent}.
 */
final class RequestQueue {
  /** The maximum number of segments that a client has in flight. */
  private static final int MAX_WAITING_SEGMENTS = 16;

  /**
   * A request that comes sooner after the opening is not a retry, since clients retry after 200 ms
   * at the earliest.
   */
  private static final int JUST_OPENED_MS = 150;

  /**
   * The minimum ratio of a route's timeout to the maximum wait for its requests to be queued. With
   * a shorter timeout the client gives up a request that has waited, and the target serves it in
   * vain. Queueing all requests lowered the score of a deployment with short timeouts by 0.10, and
   * raised that of one with long timeouts by 0.03 (one trial each, compared with a ratio of 2.5).
   */
  private static final double MIN_TIMEOUT_TO_WAIT_RATIO = 2.0;

  private final boolean queueingEnabled;
  private final double minTimeoutMs;
  private final int staleAfterMs;
  private final RequestGate gate;
  private final boolean overloadControl;
  private final AdmissionQueue admissionQueue;
  private final ServiceTimeEstimator serviceTimes;
  private final Delivery delivery;
  private int waitingFlows;

  /** Delivers segments to the target. */
  interface Delivery {
    /** Delivers the bytes of one segment of a request. */
    void deliver(ByteBuffer datagram, long nowMs);
  }

  /**
   * Creates a queue without requests.
   *
   * @param serviceTimes is told when requests begin and end at the target
   * @param serviceMs the mean time that the target works on a request, at a time in milliseconds; 0
   *     if not known
   */
  RequestQueue(
      ForwardingPolicy policy,
      ServiceTimeEstimator serviceTimes,
      LongToDoubleFunction serviceMs,
      Delivery delivery) {
    this.queueingEnabled = policy.uses(Mechanism.GATE);
    this.minTimeoutMs = MIN_TIMEOUT_TO_WAIT_RATIO * policy.requests().maxWaitMs();
    this.staleAfterMs = policy.requests().staleAfterMs();
    this.gate = new RequestGate(policy, 0);
    this.overloadControl = policy.overload().enabled();
    this.admissionQueue = new AdmissionQueue(serviceMs, gate::inProgress);
    this.serviceTimes = serviceTimes;
    this.delivery = delivery;
  }

  /**
   * Sets the number of requests that the target works on at a time, 0 if not known, and releases
   * waiting requests to the places that become free.
   */
  void setCapacity(int capacity, long nowMs) {
    gate.setCapacity(capacity);
    admissionQueue.setCapacity(capacity);
    releaseNext(nowMs);
  }

  /** Returns the queue that is used with overload control. */
  AdmissionQueue admissionQueue() {
    return admissionQueue;
  }

  /** Returns whether an opening that arrives now would be delivered without a wait. */
  boolean hasPlace(long nowMs) {
    return !overloadControl || admissionQueue.hasPlace(nowMs);
  }

  /** Returns whether segments with these terms are scheduled by the queue of overload control. */
  boolean isScheduled(ForwardTerms terms) {
    return overloadControl && terms.scheduling() != null;
  }

  /**
   * Returns the number of flows that have a request in progress or waiting, or an opening waiting.
   */
  int busyFlows() {
    return gate.inProgress() + waitingFlows + waitingOpenings();
  }

  int waitingOpenings() {
    return admissionQueue.waitingOpenings();
  }

  /** Discards the waiting opening of a flow, which must not be given back any more. */
  void discardWaitingOpening(FlowId flow) {
    if (waitingOpenings() > 0) {
      admissionQueue.removeOpening(flow);
    }
  }

  int waitingRequests() {
    return waitingFlows;
  }

  /** Counts a flow whose opening is being delivered as admitted until its request arrives. */
  void expectRequest(AgentFlow flow) {
    if (overloadControl) {
      admissionQueue.expected().add(flow);
    }
  }

  /** Records that the target has accepted a flow, whose request has to follow. */
  void onAccepted(AgentFlow flow, long nowMs) {
    admissionQueue.expected().onAccepted(flow, nowMs);
  }

  /** Releases the place of a flow whose request is no longer expected. */
  void stopExpectingRequest(AgentFlow flow, long nowMs) {
    if (flow.expectsRequest()) {
      admissionQueue.expected().remove(flow);
      admissionQueue.startWaiting(nowMs);
    }
  }

  /** Starts waiting openings and requests, as far as the target has places for them. */
  void startWaiting(long nowMs) {
    admissionQueue.startWaiting(nowMs);
  }

  /** Returns the flow whose request has been in progress longest, or null if there is none. */
  AgentFlow oldest() {
    return gate.oldest();
  }

  /**
   * Queues a client's segment if the request that it belongs to has to wait.
   *
   * @param terms the terms with which the balancer forwarded the segment
   * @return whether the segment must not be delivered now: it was queued, or dropped as a duplicate
   *     of a queued one or beyond the {@link #MAX_WAITING_SEGMENTS}
   */
  boolean enqueueIfRequired(
      AgentFlow flow, ForwardTerms terms, Segment segment, ByteBuffer datagram, long nowMs) {
    if (flow.isWaiting()) {
      return addToWaitingRequest(flow, segment, datagram, nowMs);
    }
    boolean startsRequest = segment.dataBytes() > 0 && !flow.isBusy() && !flow.isClosed();
    if (!startsRequest) {
      return false;
    }
    boolean isScheduled = isScheduled(terms);
    boolean mayStart = isScheduled ? mayStart(flow, nowMs) : isGateOpenFor(terms.timeoutMs());
    if (mayStart || !flow.recordClientData(segment)) {
      return false;
    }
    flow.beginWaiting(Datagrams.copyOf(datagram), nowMs);
    waitingFlows++;
    if (isScheduled) {
      admissionQueue.addRequest(
          flow.id(), new WaitingRequest(flow), terms.scheduling(), terms.timeoutMs(), nowMs);
    } else {
      gate.add(flow, isKnownToBeNew(flow, nowMs));
    }
    return true;
  }

  // The first request of a flow starts in the place that its opening occupies.
  private boolean mayStart(AgentFlow flow, long nowMs) {
    return admissionQueue.hasPlaceAfterOthers(nowMs) || flow.expectsRequest();
  }

  private boolean isGateOpenFor(int timeoutMs) {
    return timeoutMs < minTimeoutMs || gate.isOpen() || !queueingEnabled;
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
      // The client no longer waits for the response. The target gets the close right after the
      // request, and so drops the request.
      flow.markClosed();
      release(flow, nowMs);
    }
    return true;
  }

  // A request is new if its flow was opened less than JUST_OPENED_MS ago by the first copy of the
  // opening segment, or if the target has already sent data on the flow. Others may be retries.
  private static boolean isKnownToBeNew(AgentFlow flow, long nowMs) {
    boolean openedRecently = nowMs - flow.openedAtMs() < JUST_OPENED_MS;
    boolean atFirstAttempt =
        flow.stage() == AgentFlow.Stage.ACCEPTED && flow.wasOpenedByFirstCopy();
    return (openedRecently && atFirstAttempt) || flow.hasTargetData();
  }

  /** Cancels the wait of a flow's request and drops its segments. */
  void cancelWaiting(AgentFlow flow) {
    if (flow.isWaiting()) {
      flow.takeWaitingSegments();
      waitingFlows--;
      admissionQueue.removeRequest(flow.id());
    }
  }

  /** Counts a flow's request as in progress at the target. */
  void begin(AgentFlow flow, long nowMs) {
    if (!flow.isBusy()) {
      admissionQueue.expected().remove(flow);
      flow.beginRequest(nowMs);
      gate.addInProgress(flow);
      serviceTimes.begin(flow, nowMs);
    }
  }

  /**
   * Ends a flow's request, which got its response, was broken off or given up or is stale, and
   * releases waiting requests to the target in its place.
   */
  void end(AgentFlow flow, long nowMs) {
    if (!flow.isBusy()) {
      return;
    }
    flow.endRequest();
    gate.removeInProgress();
    serviceTimes.end(flow, nowMs);
    admissionQueue.startWaiting(nowMs);
    releaseNext(nowMs);
  }

  private void releaseNext(long nowMs) {
    for (AgentFlow next = gate.pollNext(nowMs); next != null; next = gate.pollNext(nowMs)) {
      release(next, nowMs);
    }
  }

  /** Drops a flow's request, whether waiting or in progress. */
  void drop(AgentFlow flow, long nowMs) {
    cancelWaiting(flow);
    end(flow, nowMs);
    stopExpectingRequest(flow, nowMs);
  }

  private void release(AgentFlow flow, long nowMs) {
    if (!flow.isWaiting()) {
      return;
    }
    List<byte[]> segments = flow.takeWaitingSegments();
    waitingFlows--;
    admissionQueue.removeRequest(flow.id());
    if (!flow.isClosed()) {
      begin(flow, nowMs);
    }
    for (byte[] segment : segments) {
      delivery.deliver(ByteBuffer.wrap(segment), nowMs);
    }
  }

  /** Ends requests that have become stale, and releases those that have waited the maximum time. */
  void onTick(long nowMs) {
    for (AgentFlow flow = gate.pollStale(staleAfterMs, nowMs);
        flow != null;
        flow = gate.pollStale(staleAfterMs, nowMs)) {
      end(flow, nowMs);
    }
    for (AgentFlow flow = gate.pollOverdue(nowMs); flow != null; flow = gate.pollOverdue(nowMs)) {
      release(flow, nowMs);
    }
    admissionQueue.startWaiting(nowMs);
  }

  /** A request on an open flow that waits; it is never given back. */
  private final class WaitingRequest implements AdmissionQueue.Waiter {
    private final AgentFlow flow;

    WaitingRequest(AgentFlow flow) {
      this.flow = flow;
    }

    @Override
    public void start(long nowMs) {
      release(flow, nowMs);
    }

    @Override
    @Nullable
    public GiveBackReason rejectionReason(long nowMs) {
      return null;
    }

    @Override
    public void giveBack(GiveBackReason reason, long nowMs) {
      throw new IllegalStateException("requests on open flows are never given back");
    }
  }
}
