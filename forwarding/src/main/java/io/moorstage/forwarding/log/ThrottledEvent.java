package io.moorstage.forwarding.log;

import io.moorstage.core.model.Endpoint;

/**
 * A rate-limited log event, for failures that may occur with each datagram. The first occurrence is
 * logged immediately. After that, at most one line per {@link #INTERVAL_MS} is logged, with the
 * number of occurrences since the previous line. A flood of failures therefore does not use up the
 * log's limit of lines per second. Thread-safe.
 */
public final class ThrottledEvent {
  /** Minimum time between two lines, in milliseconds. */
  static final int INTERVAL_MS = 1_000;

  private final EventLog log;
  private final String event;
  private long nextLineAtMs = Long.MIN_VALUE;
  private long unloggedCount;

  /**
   * Creates an event that has not occurred yet.
   *
   * @param log receives the lines
   * @param event the event's name in the log
   */
  public ThrottledEvent(EventLog log, String event) {
    this.log = log;
    this.event = event;
  }

  /**
   * Records an occurrence, and logs it with the preceding ones if a line is due.
   *
   * @param peerAddress IPv4 address of the other node, its first octet in the highest bits
   * @param detail the cause in a few words
   * @param nowMs the current time of the monotonic clock, in milliseconds
   */
  public void record(int peerAddress, String detail, long nowMs) {
    long count = countOccurrence(nowMs);
    if (count > 0) {
      String peer = Endpoint.of(peerAddress, 0).host();
      log.event(event, "peer", peer, "detail", detail, "count", count);
    }
  }

  /**
   * Counts an occurrence. Returns the number of occurrences since the previous line if a line is
   * due, or else 0.
   */
  synchronized long countOccurrence(long nowMs) {
    unloggedCount++;
    if (nowMs < nextLineAtMs) {
      return 0;
    }
    long count = unloggedCount;
    unloggedCount = 0;
    nextLineAtMs = nowMs + INTERVAL_MS;
    return count;
  }
}
