package io.moorstage.core.agent;

import io.moorstage.core.message.SchedulingTerms;
import java.util.Comparator;

/**
 * An opening or a request in a {@link RequestScheduler}, with its place in the order and its
 * deadlines.
 *
 * @param <T> what waits
 */
final class ScheduledRequest<T> {
  /** Order within a share: by client order, then by arrival. */
  static final Comparator<ScheduledRequest<?>> IN_SHARE =
      Comparator.<ScheduledRequest<?>>comparingInt(request -> request.clientOrder)
          .thenComparingLong(request -> request.sequence);

  /** Order of late requests: by priority, then by arrival. */
  static final Comparator<ScheduledRequest<?>> WHEN_LATE =
      Comparator.<ScheduledRequest<?>>comparingInt(request -> request.priority)
          .thenComparingLong(request -> request.sequence);

  /** Order of the next deadlines. */
  static final Comparator<ScheduledRequest<?>> BY_DEADLINE =
      Comparator.<ScheduledRequest<?>>comparingLong(ScheduledRequest::nextDeadlineMs)
          .thenComparingLong(request -> request.sequence);

  private final T payload;
  private final long sequence;
  private final int priority;
  private final int clientOrder;
  private final RequestDeadlines deadlines;
  private final RequestShare<T> share;
  private boolean late;

  ScheduledRequest(
      T payload,
      long sequence,
      SchedulingTerms terms,
      RequestDeadlines deadlines,
      RequestShare<T> share) {
    this.payload = payload;
    this.sequence = sequence;
    this.priority = terms.priority();
    this.clientOrder = terms.clientOrder();
    this.deadlines = deadlines;
    this.share = share;
  }

  T payload() {
    return payload;
  }

  int clientOrder() {
    return clientOrder;
  }

  RequestDeadlines deadlines() {
    return deadlines;
  }

  RequestShare<T> share() {
    return share;
  }

  /** Returns whether this request has delayed another one, which waited before it arrived. */
  boolean delays(ScheduledRequest<T> other) {
    if (priority != other.priority) {
      return priority < other.priority;
    }
    if (share == other.share) {
      return IN_SHARE.compare(this, other) < 0;
    }
    int position = other.share.positionOf(other);
    return share.size() <= share.level().turnsBefore(share, other.share, position);
  }

  /** Returns whether the request can no longer be answered within its objective. */
  boolean isLate() {
    return late;
  }

  void markLate() {
    late = true;
  }

  /** Returns when the request becomes late, or if it is late, when it is rejected. */
  long nextDeadlineMs() {
    return late ? deadlines.rejectAtMs() : Math.min(deadlines.lateAtMs(), deadlines.rejectAtMs());
  }
}
