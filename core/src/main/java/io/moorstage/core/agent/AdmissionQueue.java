package io.moorstage.core.agent;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.SchedulingTerms;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.LongToDoubleFunction;
import javax.annotation.Nullable;

/**
 * The queue of an agent with overload control: openings and requests on open flows that wait until
 * the target has a place for them. Guarded by the lock of {@link FlowAgent}.
 *
 * <p>A place is occupied by each request in progress and by each admitted opening whose request is
 * expected. {@link RequestScheduler} decides the order of those that wait, and which openings are
 * given back.
 */
final class AdmissionQueue {
  /**
   * Places beyond the capacity of the target, which cover the 8 to 27 ms of the handshake between
   * the delivery of an opening and its request.
   */
  private static final int SPARE_PLACES = 1;

  /** An opening or a request that waits. */
  interface Waiter {
    /** Starts at the target. */
    void start(long nowMs);

    /** Returns why it may no longer wait, or null if it may; called for openings only. */
    @Nullable
    GiveBackReason rejectionReason(long nowMs);

    /** Is given back to its balancer; called for openings only. */
    void giveBack(GiveBackReason reason, long nowMs);
  }

  private final RequestScheduler<Waiter> scheduler;
  private final IntSupplier inProgress;
  private final ExpectedRequests expected = new ExpectedRequests();
  private final Map<FlowId, ScheduledRequest<Waiter>> openings = new HashMap<>();
  private final Map<FlowId, ScheduledRequest<Waiter>> requests = new HashMap<>();
  private int capacity;

  /**
   * Creates an empty queue.
   *
   * @param serviceMs the mean time that the target works on a request, at a time in milliseconds; 0
   *     if not known
   * @param inProgress the number of requests in progress at the target
   */
  AdmissionQueue(LongToDoubleFunction serviceMs, IntSupplier inProgress) {
    this.scheduler = new RequestScheduler<>(serviceMs);
    this.inProgress = inProgress;
  }

  /** Sets the number of requests that the target works on at a time; 0 admits all. */
  void setCapacity(int newCapacity) {
    capacity = newCapacity;
    scheduler.setCapacity(newCapacity);
  }

  /** Returns the admitted openings whose request has not arrived yet. */
  ExpectedRequests expected() {
    return expected;
  }

  int waitingOpenings() {
    return openings.size();
  }

  int waitingRequests() {
    return requests.size();
  }

  /** Returns whether the target has a place after all that wait and fit have started. */
  boolean hasPlaceAfterOthers(long nowMs) {
    startWaiting(nowMs);
    return hasPlace(nowMs);
  }

  /** Returns whether the target has a place now. */
  boolean hasPlace(long nowMs) {
    return capacity == 0 || admitted(nowMs) < capacity + SPARE_PLACES;
  }

  private int admitted(long nowMs) {
    return inProgress.getAsInt() + expected.count(nowMs);
  }

  /**
   * Queues an opening, and gives back those that it delays too far.
   *
   * @param copy the number of the opening's copy
   * @return false if the opening can't start early enough, and is not queued
   */
  boolean addOpening(
      FlowId flow, Waiter opening, SchedulingTerms terms, int timeoutMs, int copy, long nowMs) {
    int admitted = admitted(nowMs);
    ScheduledRequest<Waiter> entry =
        scheduler.addOpening(opening, terms, flow.service(), timeoutMs, copy, admitted, nowMs);
    if (entry == null) {
      return false;
    }
    openings.put(flow, entry);
    giveBackDelayedBy(entry, nowMs);
    return true;
  }

  /** Queues a request on an open flow, and gives back the openings that it delays too far. */
  void addRequest(FlowId flow, Waiter request, SchedulingTerms terms, int timeoutMs, long nowMs) {
    ScheduledRequest<Waiter> entry =
        scheduler.addRequest(request, terms, flow.service(), timeoutMs, nowMs);
    requests.put(flow, entry);
    giveBackDelayedBy(entry, nowMs);
  }

  private void giveBackDelayedBy(ScheduledRequest<Waiter> arrival, long nowMs) {
    int admitted = admitted(nowMs);
    for (Waiter opening = scheduler.pollDelayed(arrival, admitted, nowMs);
        opening != null;
        opening = scheduler.pollDelayed(arrival, admitted, nowMs)) {
      opening.giveBack(GiveBackReason.OVERLOADED, nowMs);
    }
  }

  /** Returns the waiting opening of a flow, or null if none waits. */
  @Nullable
  Waiter opening(FlowId flow) {
    ScheduledRequest<Waiter> entry = openings.get(flow);
    return entry == null ? null : entry.payload();
  }

  /** Removes a flow's opening if it waits. */
  void removeOpening(FlowId flow) {
    ScheduledRequest<Waiter> entry = openings.remove(flow);
    if (entry != null) {
      scheduler.remove(entry);
    }
  }

  /** Removes a flow's request if it waits. */
  void removeRequest(FlowId flow) {
    ScheduledRequest<Waiter> entry = requests.remove(flow);
    if (entry != null) {
      scheduler.remove(entry);
    }
  }

  /** Gives all waiting openings back, since the target gets no new flows. */
  void giveBackOpenings(GiveBackReason reason, long nowMs) {
    for (ScheduledRequest<Waiter> entry : new ArrayList<>(openings.values())) {
      scheduler.remove(entry);
      entry.payload().giveBack(reason, nowMs);
    }
  }

  /** Gives back the waiting openings that would be rejected if they arrived now. */
  void giveBackRejected(long nowMs) {
    for (ScheduledRequest<Waiter> entry : new ArrayList<>(openings.values())) {
      GiveBackReason reason = entry.payload().rejectionReason(nowMs);
      if (reason != null) {
        scheduler.remove(entry);
        entry.payload().giveBack(reason, nowMs);
      }
    }
  }

  /** Starts as many of those that wait as the target has places for. */
  void startWaiting(long nowMs) {
    if (scheduler.size() == 0) {
      return;
    }
    giveBackExpired(nowMs);
    while (hasPlace(nowMs)) {
      Waiter next = scheduler.pollNext(nowMs);
      if (next == null) {
        return;
      }
      next.start(nowMs);
    }
  }

  private void giveBackExpired(long nowMs) {
    for (Waiter opening = scheduler.pollExpired(nowMs);
        opening != null;
        opening = scheduler.pollExpired(nowMs)) {
      opening.giveBack(GiveBackReason.OVERLOADED, nowMs);
    }
  }

  /** Returns the highest rank at which an opening that arrives now would be admitted. */
  int admittedRank(long nowMs) {
    return hasPlace(nowMs)
        ? SchedulingTerms.ADMIT_ALL
        : scheduler.admittedRank(admitted(nowMs), nowMs);
  }

  /** Forgets shares that no request has used for some time, and flows no longer expected. */
  void sweep(long nowMs) {
    // While the capacity is unknown, nothing else removes accepted flows.
    expected.count(nowMs);
    scheduler.evictUnusedShares(nowMs);
  }
}
