package io.moorstage.core.agent;

/**
 * The rule of when an agent checks whether its target's process still runs, and of what the checks
 * mean. Guarded by the lock of {@link FlowAgent}.
 *
 * <p>Without it, the flows of a target that has ended run into their clients' deadlines of seconds,
 * and an agent that stops can't tell whether its target holds flows.
 *
 * <p>A check is a connection to the target's own port that is opened and closed. It is made only
 * while the target owes an answer for longer than usual. A machine refuses connections to a port
 * that no process has, so a refusal tells at once what silence tells after seconds: the target has
 * ended, and no flow is there any more. Two in a row are wanted, since a process that is about to
 * start has no port yet either.
 */
final class TargetLiveness {
  /** A target answers an opening within 1 ms; below this, checks would follow each slow request. */
  private static final int MIN_CHECK_DELAY_MS = 30;

  /** Requests take up to six times their mean; more than four times it is worth a check. */
  private static final int CHECK_DELAY_FACTOR = 4;

  /** Between two checks that find the target: a check costs it the acceptance of a connection. */
  private static final int CHECK_INTERVAL_MS = 500;

  /** From a first refusal to the second. Not measured; two ticks of the agent. */
  private static final int CONFIRM_INTERVAL_MS = 40;

  /** While it has ended: how soon a target that has started again is noticed. Not measured. */
  private static final int ENDED_CHECK_INTERVAL_MS = 200;

  /** One refusal may come from a process that is about to start and has no port yet. */
  private static final int REFUSALS_TO_CONFIRM_END = 2;

  /** Weight of one request in the mean time to an answer: it follows some 20 requests. */
  private static final double EWMA_WEIGHT = 0.05;

  private static final long NOT_WAITING = Long.MAX_VALUE;

  private long waitingSinceMs = NOT_WAITING;
  private long nextCheckMs = Long.MIN_VALUE;
  private int refusals;
  private double meanAnswerMs;

  /** The target has been handed something that it answers. */
  void onDelivered(long nowMs) {
    waitingSinceMs = Math.min(waitingSinceMs, nowMs);
  }

  /** The target has sent a segment. */
  void markAlive() {
    waitingSinceMs = NOT_WAITING;
    refusals = 0;
  }

  /** A request was answered after some time. */
  void recordAnswer(long latencyMs) {
    meanAnswerMs =
        meanAnswerMs == 0 ? latencyMs : meanAnswerMs + EWMA_WEIGHT * (latencyMs - meanAnswerMs);
  }

  /** Returns how long requests take in the mean. */
  double meanAnswerMs() {
    return meanAnswerMs;
  }

  /** Returns whether the target's process has ended, and has not been seen again since. */
  boolean hasEnded() {
    return refusals >= REFUSALS_TO_CONFIRM_END;
  }

  /** Returns whether to check the target now; if so, the next check is due some time later. */
  boolean pollDueCheck(long nowMs) {
    double checkDelayMs = Math.max(MIN_CHECK_DELAY_MS, CHECK_DELAY_FACTOR * meanAnswerMs);
    boolean overdue = waitingSinceMs != NOT_WAITING && nowMs - waitingSinceMs >= checkDelayMs;
    if (!overdue || nowMs < nextCheckMs) {
      return false;
    }
    nextCheckMs = nowMs + CHECK_INTERVAL_MS;
    return true;
  }

  /**
   * Takes what a check has found.
   *
   * @return whether the target has turned out to have ended
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
