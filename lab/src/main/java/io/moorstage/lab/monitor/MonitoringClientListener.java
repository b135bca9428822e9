package io.moorstage.lab.monitor;

import io.moorstage.lab.client.ClientFlow;
import io.moorstage.lab.client.ClientListener;
import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.targets.StandInTarget;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Reports the packets, responses and failures of clients to the monitor. */
public class MonitoringClientListener implements ClientListener {
  private final RuleMonitor monitor;

  /** Creates a listener that reports to a monitor. */
  public MonitoringClientListener(RuleMonitor monitor) {
    this.monitor = monitor;
  }

  @Override
  public void onOpen(ClientFlow flow) {
    monitor.recordClientFlow(flow.port());
  }

  @Override
  public void onRequest(ClientFlow flow) {
    monitor.recordRequest(flow.port());
  }

  @Override
  public void onEnd(ClientFlow flow) {
    monitor.recordClientFlowEnd(flow.port());
  }

  @Override
  public void onSend(ByteBuffer packet) {
    monitor.recordSentPacket(Packets.immutableContent(packet));
  }

  @Override
  public void onServed(long latencyNs) {
    monitor.recordServedRequest();
  }

  @Override
  public void onFailed(ClientFlow flow) {
    monitor.recordFailedFlow();
  }

  @Override
  public void onReset(ClientFlow flow) {
    Optional<StandInTarget> target = flow.target();
    boolean isOpen = target.isPresent() && target.get().holds(flow.port());
    if (isOpen && !monitor.isOfDroppedRoute(flow.port())) {
      String detail = "port " + flow.port() + " at " + target.get().start().id();
      monitor.recordBreach(Rule.OPEN_FLOW_RESET, detail);
    }
  }

  @Override
  public void onUnknownAcceptance(ClientFlow flow) {
    monitor.recordBreach(
        Rule.FOREIGN_PACKET, "acceptance that no target has sent, port " + flow.port());
  }

  @Override
  public void onForeignResponse(ClientFlow flow, String text) {
    monitor.recordBreach(Rule.FOREIGN_ANSWER, "port " + flow.port() + " got " + text);
  }

  @Override
  public void onError(Exception cause) {
    monitor.recordBreach(Rule.HARNESS, "clients: " + cause);
  }
}
