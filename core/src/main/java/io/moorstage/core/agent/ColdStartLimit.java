package io.moorstage.core.agent;

import io.moorstage.core.message.TargetReport;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the new flows that a target gets in any second while it is cold. Guarded by the lock of
 * {@link FlowAgent}.
 *
 * <p>All openings of a target pass through its agent, so the limit holds even if balancers have
 * stale state. The window is a sliding one: a token bucket would admit twice the rate in a second
 * that begins with a full bucket. An agent that has just started has no record of how long its
 * target has run, and treats it as cold until the duration of a cold start has passed.
 */
final class ColdStartLimit {
  /** Length of the sliding window; the limit is a number of new flows per second. */
  private static final int WINDOW_MS = 1_000;

  /** Longer than any cold start: the target counts as cold until the first report. */
  private static final int UNKNOWN_DURATION_MS = Integer.MAX_VALUE;

  private final Deque<Long> openedAtMs = new ArrayDeque<>();
  private long coldSinceMs;
  private int durationMs = UNKNOWN_DURATION_MS;
  private long startNumber;
  private int slowStartMs;
  private boolean evacuated;

  ColdStartLimit(long nowMs) {
    this.coldSinceMs = nowMs;
  }

  /**
   * Applies a balancer's report. The target becomes cold when it has started, when its record has a
   * longer slow start than before, and when the evacuation of its zone ends.
   */
  void update(TargetReport report, long nowMs) {
    boolean started = report.startNumber() != startNumber;
    boolean slowStartExtended = report.slowStartMs() > slowStartMs;
    boolean evacuationEnded = evacuated && !report.evacuated();
    if (started || slowStartExtended || evacuationEnded) {
      coldSinceMs = nowMs;
    }
    startNumber = report.startNumber();
    slowStartMs = report.slowStartMs();
    evacuated = report.evacuated();
    durationMs = Math.max(report.coldStartMs(), report.slowStartMs());
  }

  /**
   * Returns whether the target may get a new flow now, and if so counts it.
   *
   * @param openingsPerS the new flows per second that a cold target can take; 0 for no limit
   */
  boolean tryAdmit(int openingsPerS, long nowMs) {
    if (!mayAdmit(openingsPerS, nowMs)) {
      return false;
    }
    if (openingsPerS > 0) {
      openedAtMs.addLast(nowMs);
    }
    return true;
  }

  /** Returns whether the target may get a new flow now, without counting it. */
  boolean mayAdmit(int openingsPerS, long nowMs) {
    if (openingsPerS <= 0) {
      return true;
    }
    while (!openedAtMs.isEmpty() && nowMs - openedAtMs.peekFirst() > WINDOW_MS) {
      openedAtMs.pollFirst();
    }
    boolean cold = nowMs - coldSinceMs <= durationMs;
    return !cold || openedAtMs.size() < openingsPerS;
  }
}
