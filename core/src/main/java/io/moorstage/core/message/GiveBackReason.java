package io.moorstage.core.message;

/** Why an agent rejects a segment and gives it back to the balancer that forwarded it. */
public enum GiveBackReason {
  /** The target does not hold the segment's flow. */
  NOT_HELD,
  /** The target has returned the opening segment, since it cannot accept another flow now. */
  FULL,
  /** The target is draining or no longer listed, and accepts no new flows. */
  LEAVING,
  /** The segment is meant for another service than the one that the agent's target belongs to. */
  OTHER_SERVICE,
  /** The balancer's configuration is older than one that the agent has already applied. */
  OLD_CONFIGURATION,
  /** The target has not answered an opening segment before the time-out. */
  SILENT,
  /** The target's zone is evacuated and accepts no new flows. */
  EVACUATED,
  /** The target is cold and has reached its limit of new flows per second. */
  COLD,
  /** The target's process has ended. */
  ENDED,
  /** The agent has ejected the target as an outlier, and gives it no new flows for a while. */
  UNFIT,
  /** The request could not be served in time, as the agent's queue is too long for its rank. */
  OVERLOADED;

  private static final GiveBackReason[] VALUES = values();

  /** Returns the reason with an ordinal, as messages carry it, or null if there is none. */
  public static GiveBackReason ofNumber(int number) {
    return number >= 0 && number < VALUES.length ? VALUES[number] : null;
  }
}
