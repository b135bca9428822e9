package io.moorstage.core.agent;

import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import java.util.ArrayDeque;
import java.util.Deque;
import javax.annotation.Nullable;

/**
 * Limits the requests in progress at a target, and orders those that wait. Guarded by the lock of
 * {@link FlowAgent}.
 *
 * <p>A target serves its own queue in order of arrival. After an outage, late requests that their
 * clients have already repeated would therefore delay all later requests. The gate keeps only as
 * many requests in progress as the target works on, plus {@link #SPARE_REQUESTS}, and queues the
 * others. Requests known to be new go before those that may be retries. In a standing queue the
 * newest request goes first (adaptive LIFO, as in Maurer, "Fail at Scale", ACM Queue 2015). Every
 * other place that becomes free goes to a request that has waited for {@code longWaitMs}, if there
 * is one, so that neither old nor new requests starve. After the maximum wait a request is released
 * to the target's own queue.
 */
final class RequestGate {
  /**
   * Requests in progress beyond the capacity of the target, so that it is not idle while the agent
   * sends the next one.
   */
  private static final int SPARE_REQUESTS = 2;

  /** If its oldest request has waited for longer, a queue is standing: it does not drain. */
  private static final int STANDING_QUEUE_MS = 40;

  private final boolean servesNewestFirst;
  private final int longWaitMs;
  private final int maxWaitMs;
  private final Deque<AgentFlow> newRequests = new ArrayDeque<>();
  private final Deque<AgentFlow> possibleRetries = new ArrayDeque<>();
  private final Deque<AgentFlow> started = new ArrayDeque<>();
  private int capacity;
  private int inProgress;
  private boolean lastWasLongWaiting;

  /**
   * Creates a gate without requests.
   *
   * @param policy gives the wait after which a request gets a turn before newer ones, and the
   *     maximum wait
   * @param capacity the requests that the target works on at a time; 0 if not known, which opens
   *     the gate for all requests
   */
  RequestGate(ForwardingPolicy policy, int capacity) {
    this.servesNewestFirst = policy.uses(Mechanism.NEWEST_FIRST);
    this.longWaitMs =
        policy.uses(Mechanism.LONG_WAIT_TURNS) ? policy.requests().longWaitMs() : Integer.MAX_VALUE;
    this.maxWaitMs = policy.requests().maxWaitMs();
    this.capacity = capacity;
  }

  /** Sets the number of requests that the target works on at a time; 0 opens the gate for all. */
  void setCapacity(int newCapacity) {
    capacity = newCapacity;
  }

  /** Returns the number of requests in progress at the target. */
  int inProgress() {
    return inProgress;
  }

  /** Counts a flow's request as in progress at the target from now on. */
  void addInProgress(AgentFlow flow) {
    inProgress++;
    started.addLast(flow);
  }

  /**
   * Removes and returns a flow whose request has been in progress for {@code staleAfterMs} or
   * longer, or null if there is none. Its response was lost, or it was a retry of a request that
   * already had its response.
   *
   * @param staleAfterMs the time after which a request no longer counts as in progress
   */
  @Nullable
  AgentFlow pollStale(int staleAfterMs, long nowMs) {
    for (AgentFlow flow = started.peekFirst(); flow != null; flow = started.peekFirst()) {
      if (flow.isBusy() && nowMs - flow.busySinceMs() < staleAfterMs) {
        return null;
      }
      started.pollFirst();
      if (flow.isBusy()) {
        return flow;
      }
    }
    return null;
  }

  /** Returns the flow whose request has been in progress longest, or null if there is none. */
  @Nullable
  AgentFlow oldest() {
    for (AgentFlow flow = started.peekFirst(); flow != null; flow = started.peekFirst()) {
      if (flow.isBusy()) {
        return flow;
      }
      started.pollFirst();
    }
    return null;
  }

  /** Decrements the requests in progress: one has ended at the target, or has become stale. */
  void removeInProgress() {
    inProgress--;
  }

  /** Returns whether the next request may go to the target without waiting. */
  boolean isOpen() {
    return capacity == 0 || inProgress < capacity + SPARE_REQUESTS;
  }

  /**
   * Queues a flow's request.
   *
   * @param isNew whether the request is known not to be a retry
   */
  void add(AgentFlow flow, boolean isNew) {
    (isNew ? newRequests : possibleRetries).addLast(flow);
  }

  /**
   * Removes and returns the flow whose request goes next; null if none waits or the gate is closed.
   */
  @Nullable
  AgentFlow pollNext(long nowMs) {
    if (!isOpen()) {
      return null;
    }
    AgentFlow longWaiting = lastWasLongWaiting ? null : pollOverdue(longWaitMs, nowMs);
    lastWasLongWaiting = longWaiting != null;
    if (longWaiting != null) {
      return longWaiting;
    }
    AgentFlow flow = poll(newRequests, nowMs);
    return flow != null ? flow : poll(possibleRetries, nowMs);
  }

  @Nullable
  private AgentFlow poll(Deque<AgentFlow> queue, long nowMs) {
    dropNoLongerWaiting(queue);
    AgentFlow oldest = queue.peekFirst();
    if (oldest == null) {
      return null;
    }
    boolean isStanding = nowMs - oldest.waitingSinceMs() > STANDING_QUEUE_MS;
    AgentFlow flow = isStanding && servesNewestFirst ? queue.pollLast() : queue.pollFirst();
    while (flow != null && !flow.isWaiting()) {
      flow = queue.pollLast();
    }
    return flow;
  }

  // A flow whose wait was cancelled stays in the queue until it reaches the head.
  private static void dropNoLongerWaiting(Deque<AgentFlow> queue) {
    while (!queue.isEmpty() && !queue.peekFirst().isWaiting()) {
      queue.pollFirst();
    }
  }

  /**
   * Removes and returns a flow whose request has waited the maximum time; null if there is none.
   */
  @Nullable
  AgentFlow pollOverdue(long nowMs) {
    return pollOverdue(maxWaitMs, nowMs);
  }

  @Nullable
  private AgentFlow pollOverdue(int waitMs, long nowMs) {
    AgentFlow flow = pollOverdueFrom(newRequests, waitMs, nowMs);
    return flow != null ? flow : pollOverdueFrom(possibleRetries, waitMs, nowMs);
  }

  @Nullable
  private static AgentFlow pollOverdueFrom(Deque<AgentFlow> queue, int waitMs, long nowMs) {
    dropNoLongerWaiting(queue);
    AgentFlow oldest = queue.peekFirst();
    boolean isOverdue = oldest != null && nowMs - oldest.waitingSinceMs() >= waitMs;
    return isOverdue ? queue.pollFirst() : null;
  }
}
