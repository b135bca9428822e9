package io.moorstage.lab.monitor;

import io.moorstage.lab.client.ClientFlow;
import io.moorstage.lab.client.ClientListener;
import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.targets.StandInTarget;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Reports to the monitor what clients write and see. */
public class WatchedClients implements ClientListener {
  private final RuleMonitor monitor;

  /** Creates reports to a monitor. */
  public WatchedClients(RuleMonitor monitor) {
    this.monitor = monitor;
  }

  @Override
  public void onSend(ByteBuffer packet) {
    monitor.wrote(Packets.immutableContent(packet));
  }

  @Override
  public void onServed(long tookNs) {
    monitor.served();
  }

  @Override
  public void onFailed(ClientFlow flow) {
    monitor.failed();
  }

  @Override
  public void onReset(ClientFlow flow) {
    Optional<StandInTarget> target = flow.target();
    if (target.isPresent() && target.get().holds(flow.port())) {
      String detail = "port " + flow.port() + " at " + target.get().start().id();
      monitor.breach(Rule.OPEN_FLOW_RESET, detail);
    }
  }

  @Override
  public void onUnknownAcceptance(ClientFlow flow) {
    monitor.breach(Rule.FOREIGN_PACKET, "acceptance of no target, port " + flow.port());
  }

  @Override
  public void onForeignResponse(ClientFlow flow, String text) {
    monitor.breach(Rule.FOREIGN_ANSWER, "port " + flow.port() + " got " + text);
  }

  @Override
  public void onError(Exception cause) {
    monitor.breach(Rule.HARNESS, "clients: " + cause);
  }
}
