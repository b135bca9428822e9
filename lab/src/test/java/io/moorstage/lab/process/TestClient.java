package io.moorstage.lab.process;

import io.moorstage.lab.edge.Ipv4;
import io.moorstage.lab.edge.Packets;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;

/** A client that sends single packets for a test, each through a balancer that the test names. */
final class TestClient implements AutoCloseable {
  private static final String ADDRESS = "127.77.9.1";
  private static final Packets.End ROUTE = new Packets.End(0xC6120001, 443);
  private static final int RESPONSE_TIMEOUT_MS = 10_000;
  private static final int RETRY_INTERVAL_MS = 200;

  private final DatagramChannel channel;
  private final int targetSequence;

  /** Creates a client for targets that all accept flows with the same sequence number. */
  TestClient(int targetSequence) throws IOException {
    this.targetSequence = targetSequence;
    this.channel = DatagramChannel.open().bind(new InetSocketAddress(ADDRESS, Ports.CLIENT));
    channel.configureBlocking(false);
  }

  private static Packets.End end(int port) {
    return new Packets.End(Ipv4.number(ADDRESS), port);
  }

  /** Sends a packet once. */
  void send(String balancer, ByteBuffer packet) throws IOException {
    channel.send(packet.duplicate(), new InetSocketAddress(balancer, Ports.CLIENT));
  }

  /** Sends a packet repeatedly, as clients do, until a response arrives. */
  ByteBuffer sendUntilResponse(String balancer, ByteBuffer packet) throws Exception {
    long deadlineMs = System.currentTimeMillis() + RESPONSE_TIMEOUT_MS;
    while (System.currentTimeMillis() < deadlineMs) {
      send(balancer, packet);
      ByteBuffer response = receive(RETRY_INTERVAL_MS);
      if (response != null) {
        return response;
      }
    }
    throw new AssertionError("no response through " + balancer);
  }

  private ByteBuffer receive(int waitMs) throws Exception {
    ByteBuffer packet = ByteBuffer.allocate(2_048);
    long deadlineMs = System.currentTimeMillis() + waitMs;
    while (System.currentTimeMillis() < deadlineMs) {
      if (channel.receive(packet) != null) {
        return packet.flip();
      }
      Thread.sleep(2);
    }
    return null;
  }

  private void discardResponses() throws Exception {
    while (receive(50) != null) {
      // Late responses to repeated packets must not count as the response to the next request.
    }
  }

  /** Opens a flow and returns the response to the opening packet. */
  ByteBuffer open(String balancer, int port) throws Exception {
    return sendUntilResponse(balancer, Packets.open(end(port), ROUTE, 0));
  }

  /** Sends a request and returns the response to it. */
  ByteBuffer request(String balancer, int port, int sequence) throws Exception {
    discardResponses();
    return sendUntilResponse(
        balancer, Packets.data(end(port), ROUTE, sequence, targetSequence + 1, "request"));
  }

  /** Sends bytes to any address and port. */
  void sendTo(InetSocketAddress to, byte[] bytes) throws IOException {
    channel.send(ByteBuffer.wrap(bytes), to);
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
