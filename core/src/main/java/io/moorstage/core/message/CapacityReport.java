package io.moorstage.core.message;

/**
 * What an agent has measured of its target's capacity, and what it admits.
 *
 * @param serviceTimeTenthsMs mean time for which the target works on a request, without the time in
 *     queues, in tenths of a millisecond; 0 if not known, at most {@link #MAX_VALUE}
 * @param heldFlows number of open flows that the target holds, at most {@link #MAX_VALUE}
 * @param admittedRank the highest {@link SchedulingTerms#rank()} that the agent admits at present;
 *     {@link SchedulingTerms#ADMIT_ALL} if it admits every request
 */
public record CapacityReport(int serviceTimeTenthsMs, int heldFlows, int admittedRank) {
  /** The largest value of each field, as the fields are sent in two bytes. */
  public static final int MAX_VALUE = 0xFFFF;

  /** The report of an agent that has measured nothing yet. */
  public static final CapacityReport UNKNOWN = new CapacityReport(0, 0, SchedulingTerms.ADMIT_ALL);
}
