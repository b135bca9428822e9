package io.moorstage.forwarding.net;

/**
 * Determines at which ticks of a loop a periodic task is due. The task is due at the first tick.
 * After a late run, the next period starts at that run, and missed runs are not repeated. Not
 * thread-safe.
 */
public final class TickTimer {
  private long dueAtMs;

  /**
   * Returns whether the task is due, and if so restarts the period from now.
   *
   * @param periodMs the time until the next run, in milliseconds
   * @param nowMs {@link MonotonicClock#nowMs}
   */
  public boolean restartIfDue(int periodMs, long nowMs) {
    if (nowMs < dueAtMs) {
      return false;
    }
    dueAtMs = nowMs + periodMs;
    return true;
  }
}
