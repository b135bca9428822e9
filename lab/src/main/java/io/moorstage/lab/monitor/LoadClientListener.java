package io.moorstage.lab.monitor;

import io.moorstage.lab.client.ClientFlow;

/** Also reports what the rules of a fleet under load need. */
public final class LoadClientListener extends MonitoringClientListener {
  private final LoadMonitor load;

  /** Creates a listener that reports to both monitors. */
  public LoadClientListener(RuleMonitor monitor, LoadMonitor load) {
    super(monitor);
    this.load = load;
  }

  @Override
  public void onOpen(ClientFlow flow) {
    super.onOpen(flow);
    load.recordOpening(flow);
  }

  @Override
  public void onReset(ClientFlow flow) {
    super.onReset(flow);
    if (flow.target().isEmpty()) {
      load.recordRejection(flow, System.currentTimeMillis());
    }
  }

  @Override
  public void onLateAcceptance(int port) {
    load.recordLateAcceptance(port, System.currentTimeMillis());
  }

  @Override
  public void onRequestEnd(ClientFlow flow, boolean served) {
    load.recordEnd(flow, served, System.currentTimeMillis());
  }
}
