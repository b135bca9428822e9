package io.moorstage.lab.demo;

import io.moorstage.lab.client.ClientFlow;
import io.moorstage.lab.monitor.MonitoringClientListener;
import io.moorstage.lab.monitor.RuleMonitor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts requests and measures their latency, in addition to reporting to the monitor. */
final class DemoClientListener extends MonitoringClientListener {
  /** One minute, which is far longer than the deadline of a request. */
  private static final long MAX_LATENCY_US = TimeUnit.MINUTES.toMicros(1);

  private static final int SIGNIFICANT_DIGITS = 3;

  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong unopened = new AtomicLong();
  private final Histogram latenciesUs = new ConcurrentHistogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);

  DemoClientListener(RuleMonitor monitor) {
    super(monitor);
  }

  @Override
  public void onRequest(ClientFlow flow) {
    super.onRequest(flow);
    sent.incrementAndGet();
  }

  @Override
  public void onServed(long latencyNs) {
    super.onServed(latencyNs);
    long latencyUs = TimeUnit.NANOSECONDS.toMicros(latencyNs);
    latenciesUs.recordValue(Math.min(latencyUs, MAX_LATENCY_US));
  }

  @Override
  public void onFailed(ClientFlow flow) {
    super.onFailed(flow);
    if (flow.target().isEmpty()) {
      unopened.incrementAndGet();
    }
  }

  /**
   * Returns the number of failed flows that no target accepted. No request was sent on them, so
   * that a client may retry on another flow.
   */
  long unopenedCount() {
    return unopened.get();
  }

  long sentCount() {
    return sent.get();
  }

  /** Returns the latency of requests at a percentile, in microseconds. */
  long latencyUs(double percentile) {
    return latenciesUs.getValueAtPercentile(percentile);
  }
}
