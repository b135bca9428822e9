package io.moorstage.core.settings;

/**
 * Overload control: which requests are served, and which are rejected, while a service has less
 * capacity than its clients ask for.
 *
 * @param enabled whether overload control is on; otherwise openings go to targets at once and
 *     requests are queued as {@link RequestSettings} says
 * @param orderPeriodMs how long the order of the clients stays the same, in milliseconds
 * @param maxPlacements at how many targets an opening is tried before it is rejected as overload
 */
public record OverloadSettings(boolean enabled, int orderPeriodMs, int maxPlacements) {

  /**
   * Longer than the time-out of a request with its retries, so that the retries of a rejected
   * request are rejected too instead of taking the place of first attempts.
   */
  private static final int ORDER_PERIOD_MS = 3_000;

  /** Two choices of targets, and one more after both have rejected the opening. */
  private static final int MAX_PLACEMENTS = 3;

  /** Overload control switched off. */
  public static final OverloadSettings OFF =
      new OverloadSettings(false, ORDER_PERIOD_MS, MAX_PLACEMENTS);

  /** Overload control with the standard limits. */
  public static final OverloadSettings STANDARD =
      new OverloadSettings(true, ORDER_PERIOD_MS, MAX_PLACEMENTS);
}
