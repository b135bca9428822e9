package io.moorstage.forwarding.net;

import io.moorstage.core.model.Endpoint;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.log.ThrottledEvent;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import javax.annotation.Nullable;

/**
 * A UDP socket with a thread that receives datagrams. Sending never waits for a peer. An instance
 * is created without a socket, so that the objects that send over it can be created before the port
 * is bound.
 */
public final class UdpPort {
  /**
   * Maximum length of a datagram. Above the longest segment, 1,232 bytes, and the 1,500 bytes that
   * a link carries without fragmentation.
   */
  public static final int MAX_DATAGRAM_BYTES = 2_048;

  /**
   * Size of the system's buffer for datagrams that have not been received yet. It holds some 800 of
   * the longest segments during a pause of the receiving thread. The system may grant less.
   */
  private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

  private static final int OCTET_BITS = 8;
  private static final int OCTETS = 4;

  private final Endpoint endpoint;
  private final EventLog log;
  private final ThrottledEvent sendFailure;
  @Nullable private volatile DatagramChannel channel;

  /** Handles received datagrams. */
  public interface Receiver {
    /**
     * Handles a datagram.
     *
     * @param sourceAddress the sender's IPv4 address, its first octet in the highest bits
     * @param datagram the content; valid until the call returns
     */
    void receive(int sourceAddress, ByteBuffer datagram);
  }

  /**
   * Creates a port that is not bound before {@link #bind()}.
   *
   * @param endpoint the address and port to bind
   * @param log receives each failure to receive, and failures to send at most once a second
   */
  public UdpPort(Endpoint endpoint, EventLog log) {
    this.endpoint = endpoint;
    this.log = log;
    this.sendFailure = new ThrottledEvent(log, "send-failed");
  }

  /**
   * Binds the port, which can send from then on; {@link #start} begins to receive datagrams.
   *
   * @throws IOException if the address can't be bound
   */
  public void bind() throws IOException {
    DatagramChannel opened = DatagramChannel.open();
    opened.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
    opened.bind(socketAddress(endpoint.ipv4(), endpoint.port()));
    channel = opened;
  }

  /** Returns the socket address of an IPv4 address, its first octet in the highest bits. */
  public static InetSocketAddress socketAddress(int address, int port) {
    byte[] octets = new byte[OCTETS];
    for (int i = 0; i < OCTETS; i++) {
      octets[i] = (byte) (address >>> (OCTETS - 1 - i) * OCTET_BITS);
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(octets), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException(
          "an array of 4 octets was not accepted as an IPv4 address", e);
    }
  }

  /** Starts the thread that receives datagrams. The port must be bound before. */
  public void start(String threadName, Receiver receiver) {
    Thread thread = new Thread(() -> receiveAll(receiver), threadName);
    thread.setDaemon(true);
    thread.start();
  }

  private void receiveAll(Receiver receiver) {
    DatagramChannel bound = channel;
    ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);
    while (bound.isOpen()) {
      try {
        buffer.clear();
        InetSocketAddress source = (InetSocketAddress) bound.receive(buffer);
        buffer.flip();
        if (source != null) {
          receiver.receive(addressOf(source), buffer);
        }
      } catch (IOException e) {
        // Some systems report an unreachable peer as a receive error; the socket stays usable.
        log.event("receive-failed", "detail", e.getClass().getSimpleName());
      } catch (RuntimeException e) {
        log.event("internal-error", "detail", String.valueOf(e));
      }
    }
  }

  private static int addressOf(InetSocketAddress source) {
    int address = 0;
    for (byte octet : source.getAddress().getAddress()) {
      address = address << OCTET_BITS | (octet & 0xFF);
    }
    return address;
  }

  /**
   * Sends a datagram from the bound port. A failure is logged as {@code send-failed}, at most once
   * a second, and not reported to the caller, to whom it is equivalent to a loss in the network:
   * the sender of a segment retransmits it, and the next beacon replaces a lost one.
   */
  public void send(ByteBuffer datagram, InetSocketAddress destination) {
    try {
      channel.send(datagram, destination);
    } catch (IOException e) {
      String detail = e.getClass().getSimpleName();
      sendFailure.record(addressOf(destination), detail, MonotonicClock.nowMs());
    }
  }
}
