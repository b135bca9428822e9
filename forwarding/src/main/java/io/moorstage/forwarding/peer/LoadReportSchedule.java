package io.moorstage.forwarding.peer;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when an agent sends its next beacon, with the load of its target, to a balancer.
 *
 * <p>Inputs: the current load, in flows with a request in progress; the load in the last beacon to
 * this balancer, and its time; the interval that the balancer requests in its own beacons, in
 * milliseconds.
 *
 * <p>Rule: a beacon is due one period after the last one, and earlier if the load has changed
 * since, but never before the balancer's interval has passed.
 *
 * <p>Reason: a balancer chooses a target by its load, and a load that is much older than a request
 * lasts is of no use. The rate at which a balancer receives beacons must not grow with the number
 * of its agents (docs/PLATFORM.md: at most 195 messages a second at the largest size). Not
 * thread-safe.
 */
public final class LoadReportSchedule {
  /**
   * The shortest interval between two beacons to a balancer, in milliseconds, and the interval for
   * a balancer that has requested none. It is the duration of two requests of 51 ms, or of nine
   * requests of 11 ms (docs/design/shifted-work.md).
   */
  static final int MIN_INTERVAL_MS = 100;

  /**
   * How long the last beacon to a balancer is remembered, in milliseconds: as long as {@link
   * PeerDirectory} keeps a balancer that sends no beacons.
   */
  private static final long REPORT_TTL_MS = PeerDirectory.SEEN_TTL_MS;

  private final Map<Integer, Report> reports = new HashMap<>();

  /**
   * The last beacon to a balancer.
   *
   * @param busyFlows the load in it
   * @param sentAtMs when it was sent, in milliseconds of the monotonic clock
   * @param minIntervalMs the shortest time until the next one, in milliseconds
   */
  private record Report(int busyFlows, long sentAtMs, int minIntervalMs) {}

  private static final Report NO_REPORT = new Report(-1, Long.MIN_VALUE / 2, MIN_INTERVAL_MS);

  /**
   * Sets the interval that a balancer requests.
   *
   * @param minIntervalMs the shortest time between two beacons to it, in milliseconds
   */
  public void setMinInterval(int balancer, int minIntervalMs) {
    Report last = reports.getOrDefault(balancer, NO_REPORT);
    int boundedMs = Math.max(minIntervalMs, MIN_INTERVAL_MS);
    reports.put(balancer, new Report(last.busyFlows(), last.sentAtMs(), boundedMs));
  }

  /**
   * Returns whether a beacon to a balancer is due, and if so records it as sent now.
   *
   * @param busyFlows the current load
   * @param periodMs the period of regular beacons, in milliseconds
   */
  public boolean markSentIfDue(int balancer, int busyFlows, int periodMs, long nowMs) {
    Report last = reports.getOrDefault(balancer, NO_REPORT);
    long elapsedMs = nowMs - last.sentAtMs();
    boolean isChangeDue = busyFlows != last.busyFlows() && elapsedMs >= last.minIntervalMs();
    if (!isChangeDue && elapsedMs < Math.max(periodMs, last.minIntervalMs())) {
      return false;
    }
    reports.put(balancer, new Report(busyFlows, nowMs, last.minIntervalMs()));
    return true;
  }

  /** Evicts balancers to which no beacon was sent for a long time. */
  public void sweep(long nowMs) {
    reports.values().removeIf(report -> nowMs - report.sentAtMs() > REPORT_TTL_MS);
  }
}
