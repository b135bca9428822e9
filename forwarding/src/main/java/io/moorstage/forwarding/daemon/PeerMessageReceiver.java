package io.moorstage.forwarding.daemon;

import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.log.ThrottledEvent;
import io.moorstage.forwarding.metrics.ForwardingCounter;
import io.moorstage.forwarding.metrics.ForwardingMetrics;
import io.moorstage.forwarding.net.MonotonicClock;
import io.moorstage.forwarding.net.UdpPort;
import io.moorstage.forwarding.peer.PeerMessage;
import io.moorstage.forwarding.peer.PeerMessageCodec;
import java.nio.ByteBuffer;

/** Receives the datagrams of other nodes, decodes them and passes the valid messages on. */
abstract class PeerMessageReceiver implements UdpPort.Receiver {
  /** The log detail of a datagram that is truncated or of an unknown type. */
  static final String NO_MESSAGE = "no-message";

  /** The log detail of a message whose content is not a valid segment. */
  static final String NO_SEGMENT = "no-segment";

  private final ForwardingMetrics metrics;
  private final ThrottledEvent badDatagram;

  PeerMessageReceiver(ForwardingMetrics metrics, EventLog log) {
    this.metrics = metrics;
    this.badDatagram = new ThrottledEvent(log, "bad-peer-datagram");
  }

  @Override
  public final void receive(int sourceAddress, ByteBuffer datagram) {
    long nowMs = MonotonicClock.nowMs();
    metrics.count(ForwardingCounter.PEER_DATAGRAMS);
    PeerMessage message = PeerMessageCodec.decode(datagram);
    if (message == null) {
      onMalformed(sourceAddress, NO_MESSAGE, nowMs);
    } else {
      onMessage(sourceAddress, message, nowMs);
    }
  }

  /**
   * Handles a message. Messages of types that this program does not use are ignored.
   *
   * @param sender the IPv4 address of the sending node
   */
  abstract void onMessage(int sender, PeerMessage message, long nowMs);

  /**
   * Counts a malformed datagram. The log gets at most one line a second, with the latest sender.
   *
   * @param detail {@link #NO_MESSAGE} or {@link #NO_SEGMENT}
   */
  final void onMalformed(int sender, String detail, long nowMs) {
    metrics.count(ForwardingCounter.BAD_PEER_DATAGRAMS);
    badDatagram.record(sender, detail, nowMs);
  }
}
