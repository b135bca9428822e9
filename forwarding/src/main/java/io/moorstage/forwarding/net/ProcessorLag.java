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

  private int lowLagRuns;

  /**
   * Records a run of the periodic task.
   *
   * @param delayMs time by which the run was later than due, in milliseconds
   */
  public synchronized void recordRun(long delayMs) {
    lowLagRuns = delayMs <= MAX_LOW_LAG_MS ? lowLagRuns + 1 : 0;
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
