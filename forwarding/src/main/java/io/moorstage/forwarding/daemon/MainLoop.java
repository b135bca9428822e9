package io.moorstage.forwarding.daemon;

/** The periods of the daemons' main loops. */
final class MainLoop {
  /**
   * The time between two ticks, in milliseconds. At 50 ticks a second, a time-out is late by less
   * than its duration: the shortest time-out of a decision is 30 ms.
   */
  static final int TICK_MS = 20;

  /**
   * The time between two sweeps through all flows that evict the expired ones, in milliseconds. It
   * is far below the shortest retention of a flow, 5 s.
   */
  static final int SWEEP_MS = 1_000;

  private MainLoop() {}
}
