package io.moorstage.core.agent;

/**
 * Decides when an agent checks whether its target's process still runs, and evaluates the results.
 * Guarded by the lock of {@link FlowAgent}.
 *
 * <p>Without these checks, the flows of a target that has ended run into their clients' timeouts of
 * several seconds, and an agent that stops cannot determine whether its target still holds flows.
 *
 * <p>A check opens a connection to the target's own port and closes it. Checks are made while a
 * response of the target is outstanding for longer than usual, and when the agent stops. The
 * machine refuses connections to a port on which no process listens. A refusal therefore shows at
 * once, rather than after a timeout of seconds, that the target has ended and its flows are lost.
 * Two consecutive refusals are required, since a process that is about to start does not listen yet
 * either.
 */
final class TargetLiveness {
  /**
   * Minimum time without a response before a check. A target responds to an opening within 1 ms,
   * but with a shorter delay each slow request would cause checks.
   */
  private static final int MIN_CHECK_DELAY_MS = 30;

  /**
   * The same time as a multiple of the mean response time; the longer of both applies. Requests
   * take up to six times their mean, and a check is justified from four times the mean.
   */
  private static final int CHECK_DELAY_FACTOR = 4;

  /** Time between checks that succeed; each one costs the target the accept of a connection. */
  private static final int CHECK_INTERVAL_MS = 500;

  /** Time from a first refusal to the check that confirms it: two ticks of the agent. */
  private static final int CONFIRM_INTERVAL_MS = 40;

  /** Time between checks of a target that has ended; bounds the delay to detect its restart. */
  private static final int ENDED_CHECK_INTERVAL_MS = 200;

  /** One refusal may come from a process that is about to start and does not listen yet. */
  private static final int REFUSALS_TO_CONFIRM_END = 2;

  /** Weight of one request in the moving mean of response times, which spans some 20 requests. */
  private static final double EWMA_WEIGHT = 0.05;

  private static final long NOT_WAITING = Long.MAX_VALUE;

  private long waitingSinceMs = NOT_WAITING;
  private long nextCheckMs = Long.MIN_VALUE;
  private int refusals;
  private double meanResponseMs;

  /** Records that the target was sent a segment that it has to respond to. */
  void onDelivered(long nowMs) {
    waitingSinceMs = Math.min(waitingSinceMs, nowMs);
  }

  /** Records that the target runs: no response is outstanding, and earlier refusals are void. */
  void markAlive() {
    waitingSinceMs = NOT_WAITING;
    refusals = 0;
  }

  /** Records the time from a request to its response, in milliseconds. */
  void recordResponse(long latencyMs) {
    meanResponseMs =
        meanResponseMs == 0
            ? latencyMs
            : meanResponseMs + EWMA_WEIGHT * (latencyMs - meanResponseMs);
  }

  /** Returns the moving mean of the time from a request to its response, in milliseconds. */
  double meanResponseMs() {
    return meanResponseMs;
  }

  /** Returns whether the target's process has ended and has shown no activity since. */
  boolean hasEnded() {
    return refusals >= REFUSALS_TO_CONFIRM_END;
  }

  /** Returns whether a check of the target is due, and if so schedules the next one. */
  boolean pollDueCheck(long nowMs) {
    double checkDelayMs = Math.max(MIN_CHECK_DELAY_MS, CHECK_DELAY_FACTOR * meanResponseMs);
    boolean overdue = waitingSinceMs != NOT_WAITING && nowMs - waitingSinceMs >= checkDelayMs;
    if (!overdue || nowMs < nextCheckMs) {
      return false;
    }
    nextCheckMs = nowMs + CHECK_INTERVAL_MS;
    return true;
  }

  /**
   * Evaluates the result of a check.
   *
   * @param refused whether the connection was refused
   * @return whether this result shows that the target has ended
   */
  boolean onCheckResult(boolean refused, long nowMs) {
    boolean endedBefore = hasEnded();
    if (!refused) {
      refusals = 0;
      return false;
    }
    refusals++;
    nextCheckMs = nowMs + (hasEnded() ? ENDED_CHECK_INTERVAL_MS : CONFIRM_INTERVAL_MS);
    return hasEnded() && !endedBefore;
  }
}
