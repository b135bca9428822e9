package io.moorstage.core.settings;

/**
 * Times of requests that wait at an agent while its target is at its limit of concurrent requests.
 *
 * @param longWaitMs how long a request waits before it may be sent ahead of newer ones, in
 *     milliseconds
 * @param maxWaitMs the longest wait, in milliseconds; after it the request is delivered even if the
 *     target is at its limit
 * @param staleAfterMs how long an unanswered request counts as in progress, in milliseconds
 */
public record RequestSettings(int longWaitMs, int maxWaitMs, int staleAfterMs) {

  /** A request that is sent after this wait can still be served before its client times out. */
  private static final int LONG_WAIT_MS = 350;

  /**
   * Requests wait only on routes whose time-out is at least twice as long. With shorter time-outs,
   * clients had given up on requests that waited, and the target processed these in vain.
   */
  private static final int MAX_WAIT_MS = 900;

  /** Equal to the longest wait: a request that occupied its place longer would starve the queue. */
  private static final int STALE_AFTER_MS = MAX_WAIT_MS;

  /** Values for requests that take about 10 to 100 ms. */
  public static final RequestSettings STANDARD =
      new RequestSettings(LONG_WAIT_MS, MAX_WAIT_MS, STALE_AFTER_MS);
}
