package io.moorstage.forwarding.daemon;

import io.moorstage.core.agent.AgentActions;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.forwarding.net.TargetCheck;
import io.moorstage.forwarding.net.UdpPort;
import io.moorstage.forwarding.peer.PeerMessage;
import io.moorstage.forwarding.peer.PeerSender;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Executes an agent's decisions. The methods are called under the agent's lock, which also guards
 * the senders.
 */
final class AgentOutput implements AgentActions {
  private final UdpPort targetPort;
  private final InetSocketAddress target;
  private final TargetCheck targetCheck;
  private final ClientSender clients;
  private final PeerSender peers;
  private final int ownAddress;

  /**
   * Creates an output.
   *
   * @param ownAddress the IPv4 address of this machine
   */
  AgentOutput(
      UdpPort targetPort,
      InetSocketAddress target,
      TargetCheck targetCheck,
      ClientSender clients,
      PeerSender peers,
      int ownAddress) {
    this.targetPort = targetPort;
    this.target = target;
    this.targetCheck = targetCheck;
    this.clients = clients;
    this.peers = peers;
    this.ownAddress = ownAddress;
  }

  @Override
  public void deliver(ByteBuffer datagram) {
    targetPort.send(datagram.duplicate(), target);
  }

  @Override
  public void sendToClient(FlowId flow, ByteBuffer datagram) {
    clients.send(flow, datagram);
  }

  @Override
  public void giveBack(
      int balancerAddress, GiveBackReason reason, long version, ByteBuffer datagram) {
    peers.send(new PeerMessage.GiveBack(reason, version, datagram), balancerAddress);
  }

  @Override
  public void reportHeld(int balancerAddress, FlowId flow) {
    PeerMessage.FlowResult held =
        new PeerMessage.FlowResult(flow, FlowQueryResult.HELD, ownAddress);
    peers.send(new PeerMessage.FlowQueryResponse(List.of(held)), balancerAddress);
  }

  @Override
  public void checkTarget() {
    targetCheck.request();
  }

  @Override
  public void reset(FlowId flow, int sequence) {
    clients.sendReset(flow, sequence);
  }
}
