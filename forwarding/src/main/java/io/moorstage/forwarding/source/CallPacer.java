package io.moorstage.forwarding.source;

/**
 * Limits the rate at which a node calls the source.
 *
 * <p>Input: the time of each call, in milliseconds of the monotonic clock. Rule: a token bucket
 * with {@link #BURST} tokens, which is refilled with one token each {@link #INTERVAL_MS}; a call
 * that finds no token is delayed until the next refill.
 *
 * <p>Reason: the source responds to a waiting call as soon as there is one change. Where changes
 * follow each other closely, as when targets are replaced, a delayed call returns several of them.
 * Each call has a price. Rate-limited calls, together with the two changes made in the same step,
 * reduced the calls of a day with failures from 2,729 to 1,026 (docs/MEASURED-POLICY.md). Not
 * thread-safe.
 */
final class CallPacer {
  /**
   * The time between calls while changes keep coming, in milliseconds: a tenth of the shortest time
   * within which a configuration has to be in effect.
   */
  static final int INTERVAL_MS = 300;

  /**
   * The number of calls without a delay after an idle time, so that a single change and the few
   * that follow it closely are not delayed.
   */
  static final int BURST = 4;

  private long tokens = BURST;
  private long lastRefillMs = Long.MIN_VALUE / 2;

  /**
   * Reserves the next call.
   *
   * @return how long to wait before that call, in milliseconds
   */
  long reserveDelayMs(long nowMs) {
    long refills = (nowMs - lastRefillMs) / INTERVAL_MS;
    if (refills > 0) {
      tokens = Math.min(BURST, tokens + refills);
      lastRefillMs = tokens == BURST ? nowMs : lastRefillMs + refills * INTERVAL_MS;
    }
    if (tokens > 0) {
      tokens--;
      return 0;
    }
    lastRefillMs += INTERVAL_MS;
    return lastRefillMs - nowMs;
  }
}
