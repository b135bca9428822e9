package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for a client machine: opens flows and sends requests on them. */
final class Client implements AutoCloseable {
  private static final int[] OPENING_WAITS_MS = {200, 400, 800};
  private static final int FIRST_RETRY_MS = 200;
  private static final int MAX_RETRY_MS = 1_600;
  private static final int INITIAL_SEQUENCE = 1_000;

  private final String address;
  private final String zone;
  private final Router router;
  private final Record record;
  private final DatagramChannel channel;
  private final Map<Integer, Flow> flows = new ConcurrentHashMap<>();
  private int nextPort = 40_000;

  /** What has become of a request or of an opening. */
  enum Outcome {
    ANSWERED,
    RESET,
    SILENT
  }

  /** A flow from a port of this client. */
  final class Flow {
    private final Packet.End end;
    private final Packet.End route;
    private int sequence = INITIAL_SEQUENCE;
    private int ack;
    private boolean accepted;
    private Packet last;
    private boolean reset;

    private Flow(Packet.End end, Packet.End route) {
      this.end = end;
      this.route = route;
    }

    Packet.End end() {
      return end;
    }

    /** Sends the opening and its copies until a target accepts it. */
    synchronized Outcome open() throws InterruptedException {
      for (int copy = 0; copy < OPENING_WAITS_MS.length && !accepted && !reset; copy++) {
        record.add("client opens port " + end.port() + ", copy " + copy);
        send(new Packet(Packet.SYN, sequence, copy, end, route, ""));
        awaitChange(OPENING_WAITS_MS[copy], () -> accepted || reset);
      }
      sequence++;
      return outcome(accepted, "opening");
    }

    /** Sends a request, and sends it again until it is answered or its deadline has passed. */
    synchronized Outcome request(String id, int deadlineMs) throws InterruptedException {
      return request("/list", id, deadlineMs);
    }

    /** The same for a path; see {@link Target#SLOW_PATH}. */
    synchronized Outcome request(String path, String id, int deadlineMs)
        throws InterruptedException {
      String text =
          "GET " + path + " HTTP/1.1\r\nHost: track\r\nRequest-Id: " + id + "\r\n\r\n";
      long startMs = record.nowMs();
      last = null;
      record.add("client sends " + id + " on port " + end.port());
      int waitMs = FIRST_RETRY_MS;
      while (last == null && !reset && record.nowMs() - startMs < deadlineMs) {
        send(new Packet(Packet.ACK, sequence, ack, end, route, text));
        awaitChange(waitMs, () -> last != null || reset);
        waitMs = Math.min(MAX_RETRY_MS, 2 * waitMs);
      }
      sequence += text.length();
      return outcome(last != null, id);
    }

    /** Returns the id of the target that has sent the last answer. */
    synchronized String answeredBy() {
      return last == null ? "nobody" : last.data().replaceAll("(?s).* by (\\S+)$", "$1");
    }

    private Outcome outcome(boolean answered, String what) {
      Outcome outcome = answered ? Outcome.ANSWERED : reset ? Outcome.RESET : Outcome.SILENT;
      record.add("client port " + end.port() + ": " + what + " " + outcome
          + (answered && last != null ? " by " + answeredBy() : ""));
      return outcome;
    }

    private void awaitChange(int waitMs, java.util.function.BooleanSupplier done)
        throws InterruptedException {
      long deadlineMs = record.nowMs() + waitMs;
      for (long leftMs = waitMs; leftMs > 0 && !done.getAsBoolean(); ) {
        wait(leftMs);
        leftMs = deadlineMs - record.nowMs();
      }
    }

    private synchronized void onPacket(Packet packet) {
      if (packet.has(Packet.RST)) {
        record.add("client port " + end.port() + " gets a reset, sequence " + packet.sequence());
        reset = true;
      } else if (packet.has(Packet.SYN)) {
        if (!accepted) {
          accepted = true;
          ack = packet.sequence() + 1;
        }
      } else if (packet.sequence() == ack && !packet.data().isEmpty()) {
        ack += packet.data().length();
        last = packet;
        send(new Packet(Packet.ACK, packet.ack(), ack, end, route, ""));
      } else if (!packet.data().isEmpty()) {
        // A repeated answer: the acknowledgement of the first one was lost.
        send(new Packet(Packet.ACK, packet.ack(), ack, end, route, ""));
      }
      notifyAll();
    }
  }

  Client(String address, String zone, Router router, Ports ports, Record record)
      throws IOException {
    this.address = address;
    this.zone = zone;
    this.router = router;
    this.record = record;
    channel = DatagramChannel.open().bind(new InetSocketAddress(address, ports.datagram()));
    Thread thread = new Thread(this::receive, "client");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns a flow from a new port to a route; it is not open yet. */
  synchronized Flow flow(Packet.End route) {
    Flow flow = new Flow(Packet.End.of(address, nextPort++), route);
    flows.put(flow.end.port(), flow);
    return flow;
  }

  private void send(Packet packet) {
    InetSocketAddress balancer = router.balancerFor(zone, packet.source().port());
    try {
      if (balancer != null) {
        channel.send(packet.encode(), balancer);
      }
    } catch (ClosedChannelException e) {
      // The client has ended.
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void receive() {
    ByteBuffer buffer = ByteBuffer.allocate(Packet.MAX_BYTES);
    try {
      while (true) {
        buffer.clear();
        channel.receive(buffer);
        Packet packet = Packet.decode(buffer.flip());
        Flow flow = flows.get(packet.destination().port());
        if (flow != null) {
          flow.onPacket(packet);
        }
      }
    } catch (ClosedChannelException e) {
      // The client has ended.
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
