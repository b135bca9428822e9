package io.moorstage.core.agent;

import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import java.util.ArrayDeque;
import java.util.Deque;
import javax.annotation.Nullable;

/**
 * Decides in which order requests reach a target that is at its limit.
 *
 * <p>A target queues in order of arrival, so after an outage the requests that were repeated
 * meanwhile, and are late already, would make all later ones late as well. The gate keeps no more
 * requests in progress than the target works on, plus a few, and lets the others wait: requests
 * known to be new go before those that may be old, and once the queue stands, the newest goes first
 * (adaptive LIFO, as in Maurer, "Fail at Scale", ACM Queue 2015). A request that has waited for
 * long gets every other place that becomes free, so that new ones can't starve it nor it them; none
 * waits longer than a bound, after which the target itself decides.
 */
final class RequestGate {
  /**
   * Requests at the target beyond those that it works on, so that it never idles for the time that
   * the agent takes to send the next one. Not measured.
   */
  private static final int SPARE_REQUESTS = 2;

  /** A queue whose oldest request has waited for so long does not drain. Not measured. */
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
   * Creates an open gate.
   *
   * @param policy after how long a request gets a turn before newer ones, and the longest that one
   *     waits
   * @param capacity the requests that the target works on at a time; 0 if not known, which lets all
   *     pass
   */
  RequestGate(ForwardingPolicy policy, int capacity) {
    this.servesNewestFirst = policy.uses(Mechanism.NEWEST_FIRST);
    this.longWaitMs =
        policy.uses(Mechanism.LONG_WAIT_TURNS) ? policy.requests().turnMs() : Integer.MAX_VALUE;
    this.maxWaitMs = policy.requests().waitMs();
    this.capacity = capacity;
  }

  /** Takes the number of requests that the target works on at a time. */
  void setCapacity(int newCapacity) {
    capacity = newCapacity;
  }

  /** Returns how many requests are in progress at the target. */
  int inProgress() {
    return inProgress;
  }

  /** A flow's request has started at the target. */
  void addInProgress(AgentFlow flow) {
    inProgress++;
    started.addLast(flow);
  }

  /**
   * Returns a flow whose request has been in progress for too long to still count, or null if there
   * is none: its answer was lost, or it was a repetition of a request that had its answer.
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

  /** Returns the flow whose request has been in progress for longest, or null if there is none. */
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

  /** A request has ended at the target, or no longer counts. */
  void removeInProgress() {
    inProgress--;
  }

  /** Returns whether the next request goes to the target at once. */
  boolean isOpen() {
    return capacity == 0 || inProgress < capacity + SPARE_REQUESTS;
  }

  /** Lets a flow's request wait. */
  void add(AgentFlow flow, boolean isNew) {
    (isNew ? newRequests : possibleRetries).addLast(flow);
  }

  /** Returns the flow whose request goes next, or null if none waits or the gate is closed. */
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

  // Flows that ended while they waited stay in the queue until they come up.
  private static void dropNoLongerWaiting(Deque<AgentFlow> queue) {
    while (!queue.isEmpty() && !queue.peekFirst().isWaiting()) {
      queue.pollFirst();
    }
  }

  /** Returns a flow whose request has waited for as long as it may, or null if there is none. */
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
