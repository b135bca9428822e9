package io.moorstage.forwarding.daemon;

/** The periods of the daemons' main loops, in milliseconds. */
final class MainLoop {
  /**
   * Between two rounds. Not measured; chosen so that what is due (the shortest time-out of a
   * decision is 30 ms) is late by less than it waits, at 50 rounds a second.
   */
  static final int TICK_MS = 20;

  /**
   * Between two searches through all flows for those to forget. Not measured; chosen far below the
   * shortest time for which a flow is remembered, 5 s.
   */
  static final int SWEEP_MS = 1_000;

  private MainLoop() {}
}
