package io.moorstage.forwarding.net;

/**
 * The clock on which all decisions are based. Adjustments of the time of day do not affect it. Its
 * origin is arbitrary, so its values are meaningful within this process only.
 */
public final class MonotonicClock {
  private static final long NANOS_PER_MS = 1_000_000;

  private MonotonicClock() {}

  /** Returns the current time in milliseconds. */
  public static long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }
}
