package io.moorstage.core.placement;

import java.util.Arrays;
import java.util.List;

/**
 * The service times of a pool's targets at one time, from the reports of their agents.
 *
 * @param computedAtMs when they were computed
 * @param meanMs mean time for which a target works on a request; 0 if not known
 * @param fastestMs mean time of the fastest tenth of the targets; 0 if not known
 * @param spread the mean time of the slowest tenth of the targets, divided by that of the fastest
 *     tenth; 1 if the times of fewer than half of the targets are known
 * @param meanCompletionMs mean expected time to completion of a further request
 * @param meanHeldMs mean time that a target needs for one request of each flow that it holds
 * @param areFlowsLong whether flows are long: targets hold several times as many as they work on
 */
record ServiceTimes(
    long computedAtMs,
    double meanMs,
    double fastestMs,
    double spread,
    double meanCompletionMs,
    double meanHeldMs,
    boolean areFlowsLong) {

  /**
   * With a smaller spread, the times do not differ: with 150 answers from each target, the spread
   * of 46 equal ones stayed below 1.4.
   */
  private static final double MIN_SPREAD = 1.4;

  /** With one flow per request, targets hold 1 to 2 flows per slot. */
  private static final int LONG_FLOWS_PER_SLOT = 4;

  private static final int FRACTION_OF_A_TENTH = 10;

  /** Service times before any report. */
  static final ServiceTimes UNKNOWN = new ServiceTimes(Long.MIN_VALUE / 2, 0, 0, 1, 0, 0, false);

  /**
   * Computes the service times of the targets that accept new flows.
   *
   * @param reportValidMs the age in milliseconds above which a report is stale
   */
  static ServiceTimes of(List<TargetSlot> slots, int reportValidMs, long nowMs) {
    double[] times = new double[slots.size()];
    int accepting = 0;
    int known = 0;
    for (TargetSlot slot : slots) {
      accepting += slot.acceptsNewFlows() ? 1 : 0;
      double timeMs = slot.averageServiceTimeMs(reportValidMs, nowMs);
      if (slot.acceptsNewFlows() && timeMs > 0) {
        times[known++] = timeMs;
      }
    }
    if (known < 2 || 2 * known < accepting) {
      return new ServiceTimes(nowMs, 0, 0, 1, 0, 0, false);
    }
    Arrays.sort(times, 0, known);
    double meanMs = mean(times, 0, known);
    int tenth = (known + FRACTION_OF_A_TENTH - 1) / FRACTION_OF_A_TENTH;
    double fastestMs = mean(times, 0, tenth);
    double spread = mean(times, known - tenth, known) / fastestMs;
    double completionMs = 0;
    double heldMs = 0;
    double held = 0;
    double capacity = 0;
    for (TargetSlot slot : slots) {
      if (slot.acceptsNewFlows()) {
        double reportedMs = slot.serviceTimeMs(reportValidMs, nowMs);
        double timeMs = reportedMs > 0 ? reportedMs : meanMs;
        completionMs += slot.load(reportValidMs, nowMs) * timeMs / accepting;
        heldMs += slot.heldLoad(reportValidMs, nowMs) * timeMs / accepting;
        held += slot.heldLoad(reportValidMs, nowMs) * slot.record().capacity();
        capacity += slot.record().capacity();
      }
    }
    boolean areFlowsLong = held >= LONG_FLOWS_PER_SLOT * capacity;
    return new ServiceTimes(nowMs, meanMs, fastestMs, spread, completionMs, heldMs, areFlowsLong);
  }

  private static double mean(double[] values, int from, int to) {
    double sum = 0;
    for (int i = from; i < to; i++) {
      sum += values[i];
    }
    return sum / (to - from);
  }

  /** Returns whether the service times differ enough to place flows by them. */
  boolean differ() {
    return spread > MIN_SPREAD;
  }
}
