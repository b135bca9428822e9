package io.moorstage.core.agent;

import java.util.TreeSet;
import javax.annotation.Nullable;

/**
 * The waiting requests of one priority, origin zone and route, in their order.
 *
 * @param <T> what waits
 */
final class RequestShare<T> {
  private final RequestLevel<T> level;
  private final TreeSet<ScheduledRequest<T>> requests = new TreeSet<>(ScheduledRequest.IN_SHARE);

  /** The requests that may be rejected: the openings. */
  private final TreeSet<ScheduledRequest<T>> rejectable = new TreeSet<>(ScheduledRequest.IN_SHARE);

  private final OrderCounts counts = new OrderCounts();
  private int objectiveMs;
  private long lastUsedMs;

  RequestShare(RequestLevel<T> level) {
    this.level = level;
  }

  RequestLevel<T> level() {
    return level;
  }

  /** Records an arrival, whether it is queued or not. */
  void onArrival(int newObjectiveMs, long nowMs) {
    objectiveMs = newObjectiveMs;
    lastUsedMs = nowMs;
  }

  int objectiveMs() {
    return objectiveMs;
  }

  long lastUsedMs() {
    return lastUsedMs;
  }

  int size() {
    return requests.size();
  }

  void add(ScheduledRequest<T> request) {
    requests.add(request);
    counts.add(request.clientOrder(), 1);
    if (request.deadlines().isRejectable()) {
      rejectable.add(request);
    }
  }

  void remove(ScheduledRequest<T> request) {
    requests.remove(request);
    counts.add(request.clientOrder(), -1);
    rejectable.remove(request);
  }

  /** Returns the request that is served next, or null if none waits. */
  @Nullable
  ScheduledRequest<T> first() {
    return requests.isEmpty() ? null : requests.first();
  }

  /** Returns the opening that is served last, or null if none waits. */
  @Nullable
  ScheduledRequest<T> lastRejectable() {
    return rejectable.isEmpty() ? null : rejectable.last();
  }

  /** Returns the position in this share at which an arrival would be queued, from 0. */
  int positionOfArrival(int clientOrder) {
    return counts.upTo(clientOrder);
  }

  /** Returns the position in this share of a waiting request, from 0. */
  int positionOf(ScheduledRequest<T> request) {
    return counts.upTo(request.clientOrder()) - 1;
  }

  /** Returns the highest client order that is queued at the given position or before; or -1. */
  int highestOrderAt(int position) {
    return counts.highestOrderWithAtMost(position);
  }
}
