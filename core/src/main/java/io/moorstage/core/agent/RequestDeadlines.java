package io.moorstage.core.agent;

import io.moorstage.core.message.SchedulingTerms;

/**
 * The times that decide how long an opening or a request may wait at an agent, in milliseconds of a
 * monotonic clock.
 *
 * @param latestStartMs an opening that is not expected to start by then is rejected
 * @param lateAtMs from then on the request can't be answered within its objective
 * @param rejectAtMs when the request is rejected though it could still be served late; {@link
 *     #NEVER} for a request on an open flow, which is never rejected
 */
record RequestDeadlines(long latestStartMs, long lateAtMs, long rejectAtMs) {
  static final long NEVER = Long.MAX_VALUE;

  /**
   * Time from the delivery of an opening to its request: the handshake takes 8 to 27 ms, mostly
   * less than this.
   */
  private static final int HANDSHAKE_MS = 20;

  /** Clients give up an opening that is not accepted within this time after its first copy. */
  private static final int OPENING_TIMEOUT_MS = 1_400;

  /**
   * Rejecting an opening takes this time before its client gives up: covers two ticks of the agent,
   * the way back to the balancer and the reset.
   */
  private static final int REJECTION_MARGIN_MS = 100;

  /** Sending times of the copies of an opening after the first, by copy number. */
  private static final int[] COPY_DELAYS_MS = {0, 200, 600};

  /**
   * Returns the deadlines of an opening.
   *
   * @param copy the number of the copy that arrives now, from which the age of the request follows
   * @param timeoutMs time-out of the route; 0 if not known
   */
  static RequestDeadlines ofOpening(
      SchedulingTerms terms, int timeoutMs, int copy, double serviceMs, long nowMs) {
    int lastCopy = COPY_DELAYS_MS.length - 1;
    long firstSentMs = nowMs - COPY_DELAYS_MS[Math.max(0, Math.min(copy, lastCopy))];
    int objectiveMs = objectiveMs(terms, timeoutMs);
    int givenUpAfterMs =
        timeoutMs > 0 ? Math.min(timeoutMs, OPENING_TIMEOUT_MS) : OPENING_TIMEOUT_MS;
    return new RequestDeadlines(
        firstSentMs + objectiveMs / 2,
        firstSentMs + objectiveMs - HANDSHAKE_MS - Math.round(serviceMs),
        firstSentMs + givenUpAfterMs - REJECTION_MARGIN_MS);
  }

  /** Returns the deadlines of a request that arrives now on an open flow. */
  static RequestDeadlines ofRequest(
      SchedulingTerms terms, int timeoutMs, double serviceMs, long nowMs) {
    int objectiveMs = objectiveMs(terms, timeoutMs);
    return new RequestDeadlines(NEVER, nowMs + objectiveMs - Math.round(serviceMs), NEVER);
  }

  /**
   * Returns the objective of a request, or its time-out if the objective is not known: an answer
   * after the time-out is of no use.
   */
  static int objectiveMs(SchedulingTerms terms, int timeoutMs) {
    if (terms.objectiveMs() > 0) {
      return terms.objectiveMs();
    }
    return timeoutMs > 0 ? timeoutMs : OPENING_TIMEOUT_MS;
  }

  boolean isRejectable() {
    return rejectAtMs != NEVER;
  }
}
