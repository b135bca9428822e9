package io.moorstage.forwarding.net;

/**
 * Detects from the delays of a periodic task whether this process gets processor time promptly.
 * Work that is not urgent, such as starting the HTTP servers, is deferred until it does.
 * Thread-safe.
 */
public final class ProcessorLag {
  /** Maximum delay of a run while the processor is free, apart from short tasks. */
  private static final int MAX_LOW_LAG_MS = 8;

  /** Consecutive runs with a low delay that rule out a backlog of datagrams. */
  private static final int LOW_LAG_RUNS = 4;

  private static final int POLL_MS = 20;

  /** The period over which the largest delay is reported, in milliseconds. */
  private static final int REPORT_PERIOD_MS = 5_000;

  private int lowLagRuns;
  private long periodStartMs;
  private long maxDelayMs;
  private long maxDelayOfLastPeriodMs;

  /**
   * Records a run of the periodic task.
   *
   * @param delayMs time by which the run was later than due, in milliseconds
   * @param nowMs the time of the run, in milliseconds of the monotonic clock
   */
  public synchronized void recordRun(long delayMs, long nowMs) {
    lowLagRuns = delayMs <= MAX_LOW_LAG_MS ? lowLagRuns + 1 : 0;
    if (nowMs - periodStartMs >= REPORT_PERIOD_MS) {
      periodStartMs = nowMs;
      maxDelayOfLastPeriodMs = maxDelayMs;
      maxDelayMs = 0;
    }
    maxDelayMs = Math.max(maxDelayMs, delayMs);
  }

  /** Returns the largest delay of a run within the last 5 to 10 s, in milliseconds. */
  public synchronized long maxDelayMs() {
    return Math.max(maxDelayMs, maxDelayOfLastPeriodMs);
  }

  /** Returns whether the delays of the most recent runs were all low. */
  synchronized boolean isLow() {
    return lowLagRuns >= LOW_LAG_RUNS;
  }

  /**
   * Waits until the lag is low or the timeout has expired.
   *
   * @param timeoutMs maximum time to wait, in milliseconds
   */
  public void awaitLow(int timeoutMs) throws InterruptedException {
    long deadlineMs = MonotonicClock.nowMs() + timeoutMs;
    while (!isLow() && MonotonicClock.nowMs() < deadlineMs) {
      Thread.sleep(POLL_MS);
    }
  }
}
