package io.moorstage.core.placement;

/**
 * Whether a target may get a new flow, or the first reason why not, in the order of the constants.
 * See {@link TargetSlot#eligibility}.
 */
public enum Eligibility {
  /** The target may get a new flow. */
  ELIGIBLE,
  /** The source lists the target as draining, or no longer lists it. */
  LEAVING,
  /** The target's zone is evacuated. */
  EVACUATED,
  /** The target has recently rejected a new flow because its cold start limit was reached. */
  COLD,
  /**
   * The target has recently left an opening segment unanswered or its agent has given one back, or
   * its agent reports that it is stopping or that the target has ended.
   */
  SUSPECT,
  /** The target's agent reports it as an outlier that breaks off requests or does not answer. */
  EJECTED
}
