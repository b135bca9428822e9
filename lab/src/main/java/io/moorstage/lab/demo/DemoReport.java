package io.moorstage.lab.demo;

import io.moorstage.lab.monitor.RuleMonitor;
import io.moorstage.lab.monitor.WatchedTarget;
import java.util.List;
import java.util.Locale;

/** The text of a demonstration. */
final class DemoReport {
  private static final double MEDIAN = 50;
  private static final double P99 = 99;
  private static final double US_PER_MS = 1_000;
  private static final int MS_PER_S = 1_000;

  private DemoReport() {}

  static String progress(int second, DemoClientListener seen, RuleMonitor monitor, String event) {
    return String.format(
        "t=%2ds sent=%d served=%d failed_flows=%d broken=%d %s",
        second,
        seen.sentCount(),
        monitor.servedCount(),
        monitor.failedCount(),
        monitor.breaches().size(),
        event);
  }

  /** Returns the table at the end. */
  static String table(
      DemoClientListener seen,
      RuleMonitor monitor,
      List<WatchedTarget> targets,
      WatchedTarget leaving) {
    StringBuilder table = new StringBuilder(System.lineSeparator());
    row(table, "requests sent", Long.toString(seen.sentCount()));
    row(table, "requests served", Long.toString(monitor.servedCount()));
    row(table, "requests failed", Long.toString(seen.sentCount() - monitor.servedCount()));
    row(table, "flows that never opened", Long.toString(seen.unopenedCount()));
    row(table, "latency p50", milliseconds(seen.latencyUs(MEDIAN)));
    row(table, "latency p99", milliseconds(seen.latencyUs(P99)));
    for (WatchedTarget target : targets) {
      String name = "requests at " + target.start().id() + ", " + target.start().zone();
      row(table, name, Long.toString(target.runCount()));
    }
    String late =
        String.format(
            "openings at %s after %d s of draining",
            leaving.start().id(), RuleMonitor.PROPAGATION_LIMIT_MS / MS_PER_S);
    row(table, late, Long.toString(leaving.lateOpeningCount()));
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
