package io.moorstage.lab.demo;

import io.moorstage.lab.monitor.RuleMonitor;
import io.moorstage.lab.monitor.WatchedTarget;
import java.util.List;
import java.util.Locale;

/** Formats the progress lines and the final table of a demonstration. */
final class DemoReport {
  private static final double MEDIAN = 50;
  private static final double P99 = 99;
  private static final double US_PER_MS = 1_000;
  private static final int MS_PER_S = 1_000;

  private DemoReport() {}

  /** Returns the line printed after a second of load. */
  static String progress(
      int second, DemoClientListener clientListener, RuleMonitor monitor, String event) {
    return String.format(
        "t=%2ds sent=%d served=%d failed_flows=%d broken=%d %s",
        second,
        clientListener.sentCount(),
        monitor.servedCount(),
        monitor.failedCount(),
        monitor.breaches().size(),
        event);
  }

  /** Returns the table printed after the load has ended. */
  static String table(
      DemoClientListener clientListener,
      RuleMonitor monitor,
      List<WatchedTarget> targets,
      WatchedTarget drainTarget) {
    StringBuilder table = new StringBuilder(System.lineSeparator());
    row(table, "requests sent", Long.toString(clientListener.sentCount()));
    row(table, "requests served", Long.toString(monitor.servedCount()));
    row(
        table,
        "requests failed",
        Long.toString(clientListener.sentCount() - monitor.servedCount()));
    row(table, "flows that never opened", Long.toString(clientListener.unopenedCount()));
    row(table, "latency p50", milliseconds(clientListener.latencyUs(MEDIAN)));
    row(table, "latency p99", milliseconds(clientListener.latencyUs(P99)));
    for (WatchedTarget target : targets) {
      String name = "requests at " + target.start().id() + ", " + target.start().zone();
      row(table, name, Long.toString(target.runCount()));
    }
    String lateOpenings =
        String.format(
            "openings at %s after %d s of draining",
            drainTarget.start().id(), RuleMonitor.PROPAGATION_LIMIT_MS / MS_PER_S);
    row(table, lateOpenings, Long.toString(drainTarget.lateOpeningCount()));
    row(table, "promises broken", Integer.toString(monitor.breaches().size()));
    return table.toString();
  }

  private static String milliseconds(long us) {
    return String.format(Locale.ROOT, "%.1f ms", us / US_PER_MS);
  }

  private static void row(StringBuilder table, String name, String value) {
    table.append(String.format("%-45s %10s%n", name, value));
  }
}
