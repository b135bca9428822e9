package io.moorstage.core.agent;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import javax.annotation.Nullable;

/**
 * The waiting requests of one priority, in shares that are served in turn.
 *
 * <p>Deficit round robin (Shreedhar and Varghese, 1995) with equal quanta. The work of a request is
 * not known before it has run, so each costs one quantum; a share without waiting requests leaves
 * its turn to the others.
 *
 * @param <T> what waits
 */
final class RequestLevel<T> {
  private final int priority;
  private final Map<Long, RequestShare<T>> shares = new HashMap<>();

  /** The shares with waiting requests, the next to be served first. */
  private final Deque<RequestShare<T>> turns = new ArrayDeque<>();

  private int size;

  RequestLevel(int priority) {
    this.priority = priority;
  }

  int priority() {
    return priority;
  }

  /** Returns the number of requests that wait. */
  int size() {
    return size;
  }

  /** Returns the share with a key, creating it if necessary. */
  RequestShare<T> share(long key) {
    return shares.computeIfAbsent(key, unused -> new RequestShare<>(this));
  }

  /** Returns all shares, including those that are empty. */
  Collection<RequestShare<T>> shares() {
    return shares.values();
  }

  /** Returns the shares with waiting requests. */
  Collection<RequestShare<T>> activeShares() {
    return turns;
  }

  void add(ScheduledRequest<T> request) {
    RequestShare<T> share = request.share();
    if (share.size() == 0) {
      turns.addLast(share);
    }
    share.add(request);
    size++;
  }

  void remove(ScheduledRequest<T> request) {
    RequestShare<T> share = request.share();
    share.remove(request);
    size--;
    if (share.size() == 0) {
      turns.remove(share);
    }
  }

  /** Removes and returns the request that is served next, or null if none waits. */
  @Nullable
  ScheduledRequest<T> poll() {
    RequestShare<T> share = turns.pollFirst();
    if (share == null) {
      return null;
    }
    ScheduledRequest<T> request = share.first();
    share.remove(request);
    size--;
    if (share.size() > 0) {
      turns.addLast(share);
    }
    return request;
  }

  /**
   * Returns how many requests of this level are served before one at a position of a share. A share
   * without waiting requests gets its turn after all others.
   */
  int countBefore(RequestShare<T> share, int position) {
    int count = position;
    int turnsOfOther = position + 1;
    for (RequestShare<T> other : turns) {
      if (other == share) {
        turnsOfOther = position;
      } else {
        count += Math.min(other.size(), turnsOfOther);
      }
    }
    return count;
  }

  /** Returns how many turns a share has before the request at a position of another share. */
  int turnsBefore(RequestShare<T> share, RequestShare<T> other, int position) {
    for (RequestShare<T> next : turns) {
      if (next == share) {
        return position + 1;
      }
      if (next == other) {
        return position;
      }
    }
    return position;
  }

  /** Removes empty shares that have not been used since a time. */
  void evictUnusedSince(long usedBeforeMs) {
    shares.values().removeIf(share -> share.size() == 0 && share.lastUsedMs() < usedBeforeMs);
  }
}
