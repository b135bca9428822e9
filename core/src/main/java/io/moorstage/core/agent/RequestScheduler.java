package io.moorstage.core.agent;

import io.moorstage.core.message.SchedulingTerms;
import java.util.Iterator;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongToDoubleFunction;
import javax.annotation.Nullable;

/**
 * Orders the openings and requests that wait for a target under overload, and decides which
 * openings can't start early enough. Knows ranks, shares, deadlines and the service time, but no
 * segments. Not thread-safe.
 *
 * <p>Inputs: the terms of each request, the target's capacity and mean service time, and the number
 * of requests admitted to the target. Order: by priority, then in turn by origin zone and route,
 * then by client order, then by arrival. Requests that can no longer be answered within their
 * objective come after all others.
 *
 * <p>An opening is rejected if its expected wait, which is the work ahead of it divided by the
 * target's capacity, does not end by the latest start of its deadlines. This also bounds the number
 * of waiting openings. If an arrival delays waiting openings past this limit, these are rejected,
 * the last in the order first. The cost of an operation grows with the number of priorities and
 * shares, and with the logarithm of the number of waiting requests; that of {@link #pollDelayed}
 * and {@link #admittedRank} with the square of the number of shares of a priority.
 *
 * @param <T> what waits
 */
final class RequestScheduler<T> {
  /** The mean work of a request is 18.6 to 27.9 ms in the workloads that the design is based on. */
  private static final double DEFAULT_SERVICE_MS = 25;

  /** How long an unused share is kept: a period of the client order. */
  private static final int UNUSED_SHARE_MS = 3_000;

  private static final int ZONE_SHIFT = 48;

  private final LongToDoubleFunction serviceMs;
  private final NavigableMap<Integer, RequestLevel<T>> levels = new TreeMap<>();
  private final TreeSet<ScheduledRequest<T>> late = new TreeSet<>(ScheduledRequest.WHEN_LATE);
  private final TreeSet<ScheduledRequest<T>> deadlines =
      new TreeSet<>(ScheduledRequest.BY_DEADLINE);
  private int capacity;
  private long nextSequence;

  /**
   * Creates an empty scheduler.
   *
   * @param serviceMs the mean time that the target works on a request, at a time in milliseconds; 0
   *     if not known
   */
  RequestScheduler(LongToDoubleFunction serviceMs) {
    this.serviceMs = serviceMs;
  }

  /** Sets the number of requests that the target works on at a time. */
  void setCapacity(int newCapacity) {
    capacity = newCapacity;
  }

  /** Returns the number of requests and openings that wait. */
  int size() {
    return deadlines.size();
  }

  /** Returns the mean service time of the target, or a default if it is not known. */
  double serviceMs(long nowMs) {
    double measuredMs = serviceMs.applyAsDouble(nowMs);
    return measuredMs > 0 ? measuredMs : DEFAULT_SERVICE_MS;
  }

  /**
   * Queues an opening that arrives while the target is at its limit.
   *
   * @param copy the number of the opening's copy
   * @param admitted the number of requests admitted to the target and not answered
   * @return null if the opening can't start early enough and is not queued
   */
  @Nullable
  ScheduledRequest<T> addOpening(
      T payload,
      SchedulingTerms terms,
      long route,
      int timeoutMs,
      int copy,
      int admitted,
      long nowMs) {
    double meanMs = serviceMs(nowMs);
    RequestDeadlines times = RequestDeadlines.ofOpening(terms, timeoutMs, copy, meanMs, nowMs);
    RequestShare<T> share = shareOf(terms, route, timeoutMs, nowMs);
    int position = share.positionOfArrival(terms.clientOrder());
    long availableMs = times.latestStartMs() - nowMs;
    if (!startsInTime(share, position, availableMs, admitted, meanMs)) {
      return null;
    }
    return add(payload, terms, times, share);
  }

  /** Queues a request on an open flow that arrives while the target is at its limit. */
  ScheduledRequest<T> addRequest(
      T payload, SchedulingTerms terms, long route, int timeoutMs, long nowMs) {
    RequestDeadlines times = RequestDeadlines.ofRequest(terms, timeoutMs, serviceMs(nowMs), nowMs);
    return add(payload, terms, times, shareOf(terms, route, timeoutMs, nowMs));
  }

  private RequestShare<T> shareOf(SchedulingTerms terms, long route, int timeoutMs, long nowMs) {
    long key = (long) terms.originZone() << ZONE_SHIFT | route;
    RequestShare<T> share = levels.computeIfAbsent(terms.priority(), RequestLevel::new).share(key);
    share.onArrival(RequestDeadlines.objectiveMs(terms, timeoutMs), nowMs);
    return share;
  }

  private ScheduledRequest<T> add(
      T payload, SchedulingTerms terms, RequestDeadlines times, RequestShare<T> share) {
    ScheduledRequest<T> request =
        new ScheduledRequest<>(payload, nextSequence++, terms, times, share);
    share.level().add(request);
    deadlines.add(request);
    return request;
  }

  /** Removes a request that waits; has no effect on one that was removed before. */
  void remove(ScheduledRequest<T> request) {
    if (!deadlines.remove(request)) {
      return;
    }
    if (request.isLate()) {
      late.remove(request);
    } else {
      request.share().level().remove(request);
    }
  }

  /** Removes and returns the next request to be served, or null if none waits. */
  @Nullable
  T pollNext(long nowMs) {
    updateLate(nowMs);
    for (RequestLevel<T> level : levels.values()) {
      ScheduledRequest<T> request = level.poll();
      if (request != null) {
        deadlines.remove(request);
        return request.payload();
      }
    }
    ScheduledRequest<T> request = late.pollFirst();
    if (request == null) {
      return null;
    }
    deadlines.remove(request);
    return request.payload();
  }

  /**
   * Removes and returns an opening that an arrival delays past its latest start, or null if there
   * is none. Of the lowest priority with such an opening, the largest share loses its last one.
   *
   * <p>Only openings that the arrival delays are considered: time alone rejects none, as estimates
   * of the service time vary.
   *
   * @param arrival the request that was queued last
   * @param admitted the number of requests admitted to the target and not answered
   */
  @Nullable
  T pollDelayed(ScheduledRequest<T> arrival, int admitted, long nowMs) {
    double meanMs = serviceMs(nowMs);
    int priority = arrival.share().level().priority();
    for (RequestLevel<T> level : levels.tailMap(priority, true).descendingMap().values()) {
      ScheduledRequest<T> delayed = null;
      for (RequestShare<T> share : level.activeShares()) {
        ScheduledRequest<T> last = share.lastRejectable();
        boolean isLarger = delayed == null || share.size() > delayed.share().size();
        if (last != null
            && isLarger
            && arrival.delays(last)
            && isDelayed(last, admitted, meanMs, nowMs)) {
          delayed = last;
        }
      }
      if (delayed != null) {
        remove(delayed);
        return delayed.payload();
      }
    }
    return null;
  }

  private boolean isDelayed(ScheduledRequest<T> waiting, int admitted, double meanMs, long nowMs) {
    RequestShare<T> share = waiting.share();
    long availableMs = waiting.deadlines().latestStartMs() - nowMs;
    return !startsInTime(share, share.positionOf(waiting), availableMs, admitted, meanMs);
  }

  /** Removes and returns an opening whose client is about to give up, or null if there is none. */
  @Nullable
  T pollExpired(long nowMs) {
    updateLate(nowMs);
    if (deadlines.isEmpty() || deadlines.first().nextDeadlineMs() > nowMs) {
      return null;
    }
    ScheduledRequest<T> expired = deadlines.first();
    remove(expired);
    return expired.payload();
  }

  private void updateLate(long nowMs) {
    while (!deadlines.isEmpty()) {
      ScheduledRequest<T> request = deadlines.first();
      if (request.isLate() || request.nextDeadlineMs() > nowMs) {
        return;
      }
      deadlines.remove(request);
      request.share().level().remove(request);
      request.markLate();
      late.add(request);
      deadlines.add(request);
    }
  }

  private boolean startsInTime(
      RequestShare<T> share, int position, long availableMs, int admitted, double meanMs) {
    return countAhead(share, position, admitted) * meanMs <= (double) availableMs * capacity;
  }

  private int countAhead(RequestShare<T> share, int position, int admitted) {
    int ahead = admitted + share.level().countBefore(share, position);
    for (RequestLevel<T> level : levels.headMap(share.level().priority()).values()) {
      ahead += level.size();
    }
    return ahead;
  }

  /**
   * Returns the highest rank at which an opening of a recently seen share would be queued if it
   * arrived now, or {@link SchedulingTerms#ADMIT_ALL} if each rank would be. Priorities that were
   * not seen recently count as admitted, unless a more urgent one is rejected.
   *
   * @param admitted the number of requests admitted to the target and not answered
   */
  int admittedRank(int admitted, long nowMs) {
    double meanMs = serviceMs(nowMs);
    int rankBelowRejected = SchedulingTerms.ADMIT_ALL;
    for (RequestLevel<T> level : levels.descendingMap().values()) {
      int order = highestAdmittedOrder(level, admitted, meanMs);
      if (order == SchedulingTerms.LAST_CLIENT) {
        return rankBelowRejected;
      }
      if (order >= 0) {
        return new SchedulingTerms(0, level.priority(), order, 0).rank();
      }
      rankBelowRejected = new SchedulingTerms(0, level.priority(), 0, 0).rank() - 1;
    }
    return Math.max(0, rankBelowRejected);
  }

  private int highestAdmittedOrder(RequestLevel<T> level, int admitted, double meanMs) {
    int highest = -1;
    for (RequestShare<T> share : level.shares()) {
      int position = lastPositionInTime(share, admitted, meanMs);
      if (position >= 0) {
        highest = Math.max(highest, share.highestOrderAt(position));
      }
    }
    return highest;
  }

  // The work ahead never decreases with the position, which allows a binary search.
  private int lastPositionInTime(RequestShare<T> share, int admitted, double meanMs) {
    int inTime = -1;
    int tooLate = share.size() + 1;
    while (tooLate - inTime > 1) {
      int middle = (inTime + tooLate) >>> 1;
      if (startsInTime(share, middle, share.objectiveMs() / 2, admitted, meanMs)) {
        inTime = middle;
      } else {
        tooLate = middle;
      }
    }
    return inTime;
  }

  /** Forgets shares that no request has used for some time. */
  void evictUnusedShares(long nowMs) {
    for (Iterator<RequestLevel<T>> iterator = levels.values().iterator(); iterator.hasNext(); ) {
      RequestLevel<T> level = iterator.next();
      level.evictUnusedSince(nowMs - UNUSED_SHARE_MS);
      if (level.shares().isEmpty()) {
        iterator.remove();
      }
    }
  }
}
