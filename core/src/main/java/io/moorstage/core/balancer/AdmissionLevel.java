package io.moorstage.core.balancer;

import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.placement.Eligibility;
import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetSlot;

/**
 * Computes the admission level of a service: the largest rank that any of its targets admits. An
 * opening of a higher rank would be rejected by each of them, so the balancer resets it without a
 * message to an agent. Stateless.
 *
 * <p>Inputs: the eligible targets of the service and the admitted rank in each one's last report. A
 * target without a valid report counts as admitting all. Suspect targets count only if there are no
 * others, as in the choice of a target. Since reports expire, the level returns to {@link
 * SchedulingTerms#ADMIT_ALL} by itself when they stop.
 *
 * <p>A service without an eligible target has no level: an opening then waits or is rejected for
 * another reason than overload.
 */
final class AdmissionLevel {
  private static final int NO_TARGET = -1;

  private final boolean avoidsSuspects;

  /**
   * Creates the rule.
   *
   * @param avoidsSuspects whether suspect targets count only if there are no others
   */
  AdmissionLevel(boolean avoidsSuspects) {
    this.avoidsSuspects = avoidsSuspects;
  }

  /**
   * Returns the admission level of a service; {@link SchedulingTerms#ADMIT_ALL} if the service has
   * no eligible target.
   */
  int of(TargetPool pool, long nowMs) {
    return of(pool, SchedulingTerms.ADMIT_ALL, nowMs);
  }

  /**
   * Returns whether an eligible target admits a rank, or the service has no eligible target. Visits
   * the targets only up to the first one that admits the rank.
   */
  boolean admits(TargetPool pool, int rank, long nowMs) {
    // A target that is not ejected is eligible whether or not ejected ones are.
    return highestRank(pool, avoidsSuspects, true, rank, nowMs) >= rank
        || of(pool, rank, nowMs) >= rank;
  }

  private int of(TargetPool pool, int sufficientRank, long nowMs) {
    boolean avoidsEjected = !pool.mostAreEjected(nowMs);
    int highest = highestRank(pool, avoidsSuspects, avoidsEjected, sufficientRank, nowMs);
    if (highest == NO_TARGET && avoidsSuspects) {
      highest = highestRank(pool, false, avoidsEjected, sufficientRank, nowMs);
    }
    return highest == NO_TARGET ? SchedulingTerms.ADMIT_ALL : highest;
  }

  // Returns the largest admitted rank of the eligible targets, or the first one that is at least
  // sufficientRank.
  private static int highestRank(
      TargetPool pool,
      boolean avoidsSuspects,
      boolean avoidsEjected,
      int sufficientRank,
      long nowMs) {
    int highest = NO_TARGET;
    for (TargetSlot slot : pool.slots()) {
      if (slot.eligibility(avoidsSuspects, avoidsEjected, nowMs) == Eligibility.ELIGIBLE) {
        highest = Math.max(highest, slot.admittedRank(nowMs));
        if (highest >= sufficientRank) {
          return highest;
        }
      }
    }
    return highest;
  }
}
