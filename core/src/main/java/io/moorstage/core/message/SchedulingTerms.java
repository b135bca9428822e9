package io.moorstage.core.message;

/**
 * What an agent needs to know of a request in order to schedule it while its target is at its
 * limit.
 *
 * @param objectiveMs latency objective of the request, in milliseconds from its first attempt; 0 if
 *     unknown
 * @param priority priority of the flow's route; 0 is the highest, {@link #LOWEST_PRIORITY} the
 *     lowest
 * @param clientOrder position of the client among those of the same priority, from 0 (served first)
 *     to {@link #LAST_CLIENT}; it changes every few seconds
 * @param originZone key of the zone from which the request came, from 0 to 65,535
 */
public record SchedulingTerms(int objectiveMs, int priority, int clientOrder, int originZone) {
  /** The lowest priority. */
  public static final int LOWEST_PRIORITY = 254;

  /** The last position in the order of clients. */
  public static final int LAST_CLIENT = 255;

  /** A limit on ranks that admits every request. */
  public static final int ADMIT_ALL = 0xFFFF;

  private static final int ORDER_BITS = 8;

  /**
   * Returns the rank of the request, which is less than {@link #ADMIT_ALL}. Of two requests that
   * compete for one place, the one with the lower rank gets it.
   */
  public int rank() {
    return priority << ORDER_BITS | clientOrder;
  }
}
