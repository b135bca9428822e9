package io.moorstage.forwarding.metrics;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.model.Endpoint;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.net.HttpEndpoint;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.LongSupplier;

/**
 * Counts the decisions and events of a forwarding daemon, and serves the metrics in Prometheus's
 * text format. Thread-safe, except for {@link #gauge}.
 *
 * <p>No metrics library is used: for these few dozen values, it would cost more at the start of the
 * process than all the counting. Every decision is counted, including those whose log lines are
 * dropped.
 */
public final class ForwardingMetrics implements DecisionLog {
  /** The path at which the metrics are served. */
  static final String PATH = "/metrics";

  private static final String DECISIONS = "moorstage_forwarding_decisions_total";
  private static final String DECISIONS_MEANING = "Decisions about flows, by outcome.";

  private final DecisionLog log;
  private final AtomicLongArray decisions = new AtomicLongArray(Decision.values().length);
  private final AtomicLongArray counters = new AtomicLongArray(ForwardingCounter.values().length);
  private final Map<ForwardingGauge, LongSupplier> gauges = new EnumMap<>(ForwardingGauge.class);

  /**
   * Creates metrics whose counters are 0.
   *
   * @param log receives each decision after it has been counted
   */
  public ForwardingMetrics(DecisionLog log) {
    this.log = log;
  }

  /**
   * Registers the supplier of a gauge's value. Gauges must be registered before the metrics are
   * served; a gauge without a supplier is not served.
   */
  public void gauge(ForwardingGauge gauge, LongSupplier value) {
    gauges.put(gauge, value);
  }

  /** Increments a counter by one. */
  public void count(ForwardingCounter counter) {
    counters.incrementAndGet(counter.ordinal());
  }

  /** Increments a counter by an amount. */
  public void add(ForwardingCounter counter, long amount) {
    counters.addAndGet(counter.ordinal(), amount);
  }

  long value(ForwardingCounter counter) {
    return counters.get(counter.ordinal());
  }

  @Override
  public void decided(Decision decision, FlowId flow, int address, String reason, long ageMs) {
    decisions.incrementAndGet(decision.ordinal());
    if (decision == Decision.RESET_NO_TARGET && reason.equals(DecisionLog.OVERLOADED)) {
      count(ForwardingCounter.OVERLOADED_OPENINGS);
    }
    log.decided(decision, flow, address, reason, ageMs);
  }

  /**
   * Starts to serve the metrics over HTTP. If the port can't be bound, this is logged and the
   * daemon continues without it, since forwarding does not depend on metrics.
   *
   * @param endpoint the address and port to bind
   * @param events receives the failure to bind
   */
  public void serve(Endpoint endpoint, EventLog events) {
    try {
      HttpEndpoint.start(endpoint, PATH, query -> exposition());
    } catch (IOException e) {
      events.event("metrics-unavailable", "port", endpoint.port(), "detail", e.getMessage());
    }
  }

  /** Returns the current values in Prometheus's text format, including those that are zero. */
  byte[] exposition() {
    StringBuilder text = new StringBuilder(2_048);
    for (Decision decision : Decision.values()) {
      text.append(DECISIONS).append("{decision=\"").append(decision.logName()).append("\"} ");
      text.append(decisions.get(decision.ordinal())).append('\n');
    }
    for (ForwardingCounter counter : ForwardingCounter.values()) {
      text.append(counter.metricName()).append(' ').append(value(counter)).append('\n');
    }
    for (Map.Entry<ForwardingGauge, LongSupplier> gauge : gauges.entrySet()) {
      text.append(gauge.getKey().metricName()).append(' ');
      text.append(gauge.getValue().getAsLong()).append('\n');
    }
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the content of docs/METRICS.md, which describes all metrics. */
  static String reference() {
    StringBuilder page = new StringBuilder(4_096);
    page.append("# Metrics of balancer and agent\n\n");
    page.append("<!-- Generated from the code; a test compares this page with it. -->\n\n");
    page.append(
        "`GET /metrics` at the port of the setting `node.metrics-port`, in Prometheus's text format."
            + "\n\n");
    page.append("| metric | kind | meaning |\n|---|---|---|\n");
    page.append(row(DECISIONS + "{decision}", "counter", DECISIONS_MEANING));
    for (ForwardingCounter counter : ForwardingCounter.values()) {
      page.append(row(counter.metricName(), "counter", counter.meaning()));
    }
    for (ForwardingGauge gauge : ForwardingGauge.values()) {
      page.append(row(gauge.metricName(), "gauge", gauge.meaning()));
    }
    page.append("\nDecisions: ");
    String separator = "";
    for (Decision decision : Decision.values()) {
      page.append(separator).append('`').append(decision.logName()).append('`');
      separator = ", ";
    }
    return page.append(".\n").toString();
  }

  private static String row(String name, String kind, String meaning) {
    return "| `" + name + "` | " + kind + " | " + meaning + " |\n";
  }
}
