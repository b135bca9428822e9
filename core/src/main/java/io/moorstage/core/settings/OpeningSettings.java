package io.moorstage.core.settings;

/**
 * Times of the opening of a new flow.
 *
 * @param targetWaitMs how long a new flow waits at a balancer while its service has no target, in
 *     milliseconds
 * @param unlistedTargetsMs for how long after its first state a balancer also considers targets
 *     that the source does not list but whose agents send beacons, in milliseconds; it does so for
 *     services where they outnumber the listed ready targets
 * @param responseTimeoutMs how long an agent waits for its target's response to an opening segment,
 *     in milliseconds
 * @param suspicionMs for how long a target gets no new flows after it has timed out, been ejected
 *     or rejected a flow, in milliseconds
 */
public record OpeningSettings(
    int targetWaitMs, int unlistedTargetsMs, int responseTimeoutMs, int suspicionMs) {

  /** Between the client's copies after 200 and 600 ms, so that one wait covers the first two. */
  private static final int TARGET_WAIT_MS = 400;

  /**
   * A source that was down lists targets again within about 2 s of its recovery, and a balancer has
   * its first state no sooner than about 0.5 s after that recovery. Without this rule, a simulated
   * day on which all processes are killed scored 0.026 lower (one run, compared with the mean of
   * three).
   */
  private static final int UNLISTED_TARGETS_MS = 1_500;

  /**
   * Well above a round trip on the target's machine, and below the 200 ms after which the client
   * sends its first copy.
   */
  private static final int RESPONSE_TIMEOUT_MS = 80;

  /** Two beacon periods, so that an agent's next report of a still ejected target is in time. */
  private static final int SUSPICION_MS = 1_000;

  /** Values for clients that repeat an opening segment after 200 and 600 ms. */
  public static final OpeningSettings STANDARD =
      new OpeningSettings(TARGET_WAIT_MS, UNLISTED_TARGETS_MS, RESPONSE_TIMEOUT_MS, SUSPICION_MS);
}
