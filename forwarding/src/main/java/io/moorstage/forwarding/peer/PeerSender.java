package io.moorstage.forwarding.peer;

import io.moorstage.forwarding.metrics.ForwardingCounter;
import io.moorstage.forwarding.metrics.ForwardingMetrics;
import io.moorstage.forwarding.net.AddressCache;
import io.moorstage.forwarding.net.UdpPort;
import java.nio.ByteBuffer;

/**
 * Encodes messages to other nodes into its own buffer and sends them from the peer port. Not
 * thread-safe: each thread or lock under which messages are sent needs a sender of its own.
 */
public final class PeerSender {
  private final UdpPort port;
  private final AddressCache addresses;
  private final ForwardingMetrics metrics;
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(PeerMessageCodec.MAX_BYTES);

  /**
   * Creates a sender.
   *
   * @param port the port to send from; must be bound before the first message
   * @param addresses the socket addresses of other nodes' peer ports
   * @param metrics counts beacons and their bytes
   */
  public PeerSender(UdpPort port, AddressCache addresses, ForwardingMetrics metrics) {
    this.port = port;
    this.addresses = addresses;
    this.metrics = metrics;
  }

  /** Sends a message to the node at an IPv4 address. */
  public void send(PeerMessage message, int address) {
    encode(message);
    port.send(buffer, addresses.get(address));
  }

  /** Sends a beacon to the node at an IPv4 address, and counts it. */
  public void sendBeacon(PeerMessage beacon, int address) {
    encode(beacon);
    metrics.count(ForwardingCounter.BEACONS);
    metrics.add(ForwardingCounter.BEACON_BYTES, buffer.remaining());
    port.send(buffer, addresses.get(address));
  }

  private void encode(PeerMessage message) {
    buffer.clear();
    PeerMessageCodec.encode(message, buffer);
    buffer.flip();
  }
}
