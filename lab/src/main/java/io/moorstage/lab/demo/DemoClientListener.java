package io.moorstage.lab.demo;

import io.moorstage.lab.client.ClientFlow;
import io.moorstage.lab.monitor.MonitoringClientListener;
import io.moorstage.lab.monitor.RuleMonitor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts what clients send and how long answers take, beside what the monitor judges. */
final class DemoClientListener extends MonitoringClientListener {
  /** A minute; requests end at their deadline, long before. */
  private static final long MAX_LATENCY_US = TimeUnit.MINUTES.toMicros(1);

  private static final int DIGITS = 3;

  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong unopened = new AtomicLong();
  private final Histogram latenciesUs = new ConcurrentHistogram(MAX_LATENCY_US, DIGITS);

  DemoClientListener(RuleMonitor monitor) {
    super(monitor);
  }

  @Override
  public void onRequest() {
    sent.incrementAndGet();
  }

  @Override
  public void onServed(long tookNs) {
    super.onServed(tookNs);
    long tookUs = TimeUnit.NANOSECONDS.toMicros(tookNs);
    latenciesUs.recordValue(Math.min(tookUs, MAX_LATENCY_US));
  }

  @Override
  public void onFailed(ClientFlow flow) {
    super.onFailed(flow);
    if (flow.target().isEmpty()) {
      unopened.incrementAndGet();
    }
  }

  /** Returns the flows of which no request was ever sent; a client may ask again on another. */
  long unopenedCount() {
    return unopened.get();
  }

  long sentCount() {
    return sent.get();
  }

  /** Returns the latency in microseconds that a share of the answers has kept, in percent. */
  long latencyUs(double percentile) {
    return latenciesUs.getValueAtPercentile(percentile);
  }
}
