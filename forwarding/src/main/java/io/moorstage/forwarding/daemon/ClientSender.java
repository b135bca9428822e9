package io.moorstage.forwarding.daemon;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.SegmentCodec;
import io.moorstage.forwarding.net.AddressCache;
import io.moorstage.forwarding.net.UdpPort;
import io.moorstage.forwarding.peer.PeerMessageCodec;
import java.nio.ByteBuffer;

/**
 * Sends segments to the clients of flows. Resets share one buffer, so the caller sends them under
 * the lock of the balancer or agent.
 */
final class ClientSender {
  private final UdpPort port;
  private final AddressCache clients;
  private final SegmentCodec segments;
  private final ByteBuffer resetBuffer = ByteBuffer.allocateDirect(PeerMessageCodec.MAX_BYTES);

  /**
   * Creates a sender.
   *
   * @param port the port to send from; must be bound before the first segment is sent
   * @param clientPort the UDP port at which all clients receive segments
   */
  ClientSender(UdpPort port, int clientPort, SegmentCodec segments) {
    this.port = port;
    this.clients = new AddressCache(clientPort);
    this.segments = segments;
  }

  /** Sends a segment to a flow's client. The position of the datagram does not change. */
  void send(FlowId flow, ByteBuffer datagram) {
    port.send(datagram.duplicate(), clients.get(flow.clientAddress()));
  }

  /**
   * Sends a reset to a flow's client.
   *
   * @param sequence the sequence number of the reset, which the client must expect
   */
  void sendReset(FlowId flow, int sequence) {
    resetBuffer.clear();
    segments.encodeReset(flow, sequence, resetBuffer);
    port.send(resetBuffer, clients.get(flow.clientAddress()));
  }
}
