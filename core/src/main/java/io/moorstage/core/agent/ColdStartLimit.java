package io.moorstage.core.agent;

import io.moorstage.core.message.TargetReport;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The rule that bounds the new flows that a target gets in any second while it is cold. Guarded by
 * the lock of {@link FlowAgent}.
 *
 * <p>All openings of a target pass through its agent, so the bound holds whatever the balancers
 * know. The window slides: a bucket of tokens would let twice the rate through in a second that
 * begins with a full bucket. An agent that has started does not know for how long its target has
 * been warm, and takes it for cold until the time of a cold start has passed.
 */
final class ColdStartLimit {
  /** The bound is given in new flows a second. */
  private static final int WINDOW_MS = 1_000;

  /** Longer than any start: until a balancer reports, the target counts as cold. */
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
   * Takes what a balancer reports: the target is cold after a start, when its record says so, and
   * when the evacuation of its zone ends.
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
   * @param openingsPerS how many it bears in a second while it is cold; 0 for no limit
   */
  boolean tryAdmit(int openingsPerS, long nowMs) {
    if (openingsPerS <= 0) {
      return true;
    }
    while (!openedAtMs.isEmpty() && nowMs - openedAtMs.peekFirst() > WINDOW_MS) {
      openedAtMs.pollFirst();
    }
    boolean cold = nowMs - coldSinceMs <= durationMs;
    if (cold && openedAtMs.size() >= openingsPerS) {
      return false;
    }
    openedAtMs.addLast(nowMs);
    return true;
  }
}
