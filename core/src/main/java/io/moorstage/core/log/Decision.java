package io.moorstage.core.log;

import java.util.Locale;

/** A decision of a balancer or an agent about a flow or segment, as counted and logged. */
public enum Decision {
  /** A balancer chose a target for a new flow. */
  PLACED,
  /** A balancer chose another target for a new flow, since the first rejected it or timed out. */
  PLACED_AGAIN,
  /** A balancer forwarded a copy of an opening segment to the same target again. */
  REPEATED,
  /** A balancer does not know which target holds a flow, and starts a search for it. */
  ASKED,
  /** A balancer found the target that holds a flow. */
  LOCATED,
  /** A balancer offered a segment of an unknown flow to a target that may hold the flow. */
  OFFERED,
  /** A search timed out without finding the target of a flow; the held segments were dropped. */
  NOT_FOUND,
  /** A flow was reset, since no target holds it any more. */
  RESET_LOST,
  /** A new flow was reset, since the current configuration has no route for it. */
  RESET_NO_ROUTE,
  /** A new flow was reset, since no target accepts it; no request of it was executed. */
  RESET_NO_TARGET,
  /** A segment without a route was dropped without a reset, as the configuration may be stale. */
  DROPPED_NO_ROUTE,
  /** A new flow waits for a target, since its service has none at present. */
  HELD_FOR_TARGET,
  /** A new flow waits until the balancer has a newer configuration. */
  HELD_FOR_CONFIGURATION,
  /** An agent delivered an opening segment to its target. */
  DELIVERED,
  /** An agent queued an opening segment, since its target is at its limit. */
  QUEUED,
  /** An agent rejected a segment and gave it back to the balancer. */
  GAVE_BACK,
  /** An agent ejected its target from new flows, since requests were broken off or stalled. */
  TARGET_UNFIT,
  /** A target returned a segment of a flow that its agent has no record of. */
  RETURNED,
  /** A malformed datagram was dropped. */
  DROPPED_MALFORMED;

  /** Returns the name in logs, for example {@code placed-again}. */
  public String logName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns whether the decision indicates a fault or overload. Log lines of such decisions have a
   * budget of their own, so that lines of normal operation don't displace them.
   */
  public boolean isAbnormal() {
    return this != PLACED
        && this != REPEATED
        && this != DELIVERED
        && this != QUEUED
        && this != LOCATED;
  }
}
