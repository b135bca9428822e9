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

/** Takes the datagrams of other nodes, and hands on those that are messages. */
abstract class PeerMessageReceiver implements UdpPort.Receiver {
  /** The datagram is cut off, or of no known type. */
  static final String NO_MESSAGE = "no-message";

  /** The datagram is a message, but what it carries is no segment. */
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
   * Takes a message; one that is not meant for this program is passed over.
   *
   * @param sender the sending node's IPv4 address
   */
  abstract void onMessage(int sender, PeerMessage message, long nowMs);

  /**
   * Counts a datagram that can't be used, and logs it with its sender at most once a second.
   *
   * @param detail {@link #NO_MESSAGE} or {@link #NO_SEGMENT}
   */
  final void onMalformed(int sender, String detail, long nowMs) {
    metrics.count(ForwardingCounter.BAD_PEER_DATAGRAMS);
    badDatagram.record(sender, detail, nowMs);
  }
}
