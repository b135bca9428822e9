package io.moorstage.forwarding.daemon;

/**
 * Decides when a stopping balancer ends.
 *
 * <p>Inputs: the start of the stop and the arrival of the last client segment, both in milliseconds
 * of the monotonic clock and evaluated at each tick of the main loop.
 *
 * <p>The balancer continues to forward until routers have had {@link #MIN_MS} to detect that it is
 * not ready, and no client segment has arrived for {@link #CLIENT_IDLE_MS}. It ends after {@link
 * #MAX_MS} in any case.
 *
 * <p>A segment that reaches a machine without a balancer is lost, and its client retransmits it
 * only 0.2 to 3.0 s later (docs/MEASURED-POLICY.md).
 */
final class BalancerDrain {
  /**
   * The minimum drain time, in milliseconds. A router that probes readiness twice a second
   * (docs/SOAK.md) has probed twice by then.
   */
  static final int MIN_MS = 1_300;

  /** The maximum drain time, in milliseconds, so that no router can prevent the process end. */
  static final int MAX_MS = 4_500;

  /**
   * The time without client segments after which routers no longer use this balancer, in
   * milliseconds. It covers the first retransmission of a lost segment, which comes after 200 ms.
   */
  static final int CLIENT_IDLE_MS = 300;

  private volatile boolean stopping;
  private volatile long stopBeganAtMs;
  private volatile long lastClientSegmentAtMs;

  /** Starts the drain if it has not started yet, and returns whether this call started it. */
  boolean begin(long nowMs) {
    if (stopping) {
      return false;
    }
    stopBeganAtMs = nowMs;
    stopping = true;
    return true;
  }

  boolean isStopping() {
    return stopping;
  }

  /** Records the arrival of a client segment. */
  void onClientSegment(long nowMs) {
    lastClientSegmentAtMs = nowMs;
  }

  /** Returns whether the drain is complete, so that the balancer ends. */
  boolean isDone(long nowMs) {
    if (!stopping) {
      return false;
    }
    long stoppingForMs = nowMs - stopBeganAtMs;
    boolean clientsIdle = nowMs - lastClientSegmentAtMs > CLIENT_IDLE_MS;
    return stoppingForMs > MAX_MS || clientsIdle && stoppingForMs > MIN_MS;
  }
}
