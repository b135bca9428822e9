package io.moorstage.forwarding.source;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Chooses the delay before this node retries a failed call to the source.
 *
 * <p>Input: the number of consecutive failures. Rule: the delay is random, from {@link
 * #MIN_DELAY_MS} over a range that doubles with each failure, from {@link #INITIAL_RANGE_MS} to
 * {@link #MAX_RANGE_MS}; 30 to 630 ms in all. Reason: nodes that have lost the source together
 * retry at different times, and each of them notices within 0.7 s that the source is available
 * again. Each failed call has a price on the platform (docs/MEASURED-POLICY.md: 0.007 to 0.015 of
 * the worth for all calls of a day with failures). Not thread-safe.
 */
final class SourceBackoff {
  /**
   * The first range of random delays, in milliseconds. With it, one lost response delays a change
   * by less than the 200 ms after which a client first retransmits.
   */
  static final int INITIAL_RANGE_MS = 60;

  /** The shortest delay after a failed call, in milliseconds. */
  static final int MIN_DELAY_MS = INITIAL_RANGE_MS / 2;

  /**
   * The longest range, in milliseconds. With it, a node calls a source that is available again
   * within about one beacon period, also after a long failure.
   */
  static final int MAX_RANGE_MS = 600;

  /** Bounds the shift; after four doublings, {@link #MAX_RANGE_MS} limits the range. */
  private static final int MAX_DOUBLINGS = 4;

  private int consecutiveFailures;

  /** Resets the back-off after a call that the source has responded to. */
  void onSuccess() {
    consecutiveFailures = 0;
  }

  /** Records a failed call; returns how long to wait before the next one, in milliseconds. */
  int onFailure() {
    int rangeMs =
        Math.min(MAX_RANGE_MS, INITIAL_RANGE_MS << Math.min(consecutiveFailures, MAX_DOUBLINGS));
    consecutiveFailures++;
    return MIN_DELAY_MS + ThreadLocalRandom.current().nextInt(rangeMs);
  }
}
