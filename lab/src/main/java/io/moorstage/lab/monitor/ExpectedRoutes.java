package io.moorstage.lab.monitor;

/** The routes that the operator has configured, as the monitor expects them. Thread-safe. */
public interface ExpectedRoutes {
  /** Returns whether a route sends flows to a service, or has done so earlier in the run. */
  boolean mayReceiveFlows(int routeAddress, String service);

  /**
   * Returns when a route was removed or stopped including a service, in milliseconds since the
   * epoch; {@code Long.MAX_VALUE} if neither has happened.
   */
  long removedSinceMs(int routeAddress, String service);

  /** Returns whether a route is not configured, or was not at some time since another. */
  default boolean wasDroppedSince(int routeAddress, long sinceMs) {
    return false;
  }
}
