package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A client machine, whose flows have the timers of the users' page. */
final class Client implements AutoCloseable {
  private static final int[] COPIES_MS = {200, 600};
  private static final int OPENING_MS = 1_400;

  private final Net net;
  final String address;
  private final Router router;
  private final Record record;
  private final DatagramChannel channel;
  private final Map<Long, Flow> flows = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timers =
      Executors.newScheduledThreadPool(
          2,
          task -> {
            Thread thread = new Thread(task, "client-timer");
            thread.setDaemon(true);
            return thread;
          });

  Client(Net net, String address, Router router, Record record) throws IOException {
    this.net = net;
    this.address = address;
    this.router = router;
    this.record = record;
    channel = DatagramChannel.open().bind(Net.socket(address, net.datagram));
    Thread thread = new Thread(this::receive, "client-" + address);
    thread.setDaemon(true);
    thread.start();
  }

  /** One flow of the client. */
  final class Flow {
    final int port;
    final String host;
    final int toPort;
    final double[] sentMs = {-1, -1, -1};
    private final int isn = ThreadLocalRandom.current().nextInt();
    private int sent = isn + 1;
    private int acked = isn + 1;
    private int received;
    private boolean finSent;
    private boolean finAcked;
    volatile double openedMs = -1;
    volatile boolean refused;
    volatile boolean peerClosed;
    volatile double resetMs = -1;
    volatile boolean resetBySystem;
    volatile String answer = "";

    Flow(int port, String host, int toPort) {
      this.port = port;
      this.host = host;
      this.toPort = toPort;
    }

    boolean isOpen() {
      return openedMs >= 0;
    }

    boolean hasEnded() {
      return peerClosed && finAcked;
    }

    private void sendOpening(int copy) {
      if (isOpen() || refused) {
        return;
      }
      sentMs[copy] = record.nowMs();
      record.line("client", "sends the opening of port " + port + " to " + toPort + ", copy " + copy);
      send(Packet.SYN, isn, copy, "");
    }

    private void send(int flags, int seq, int ack, String data) {
      Packet packet =
          new Packet(
              flags,
              Packet.SUM,
              seq,
              ack,
              Net.number(address),
              port,
              Net.number(host),
              toPort,
              data);
      InetSocketAddress balancer = router.of(Net.number(address), port, toPort);
      if (balancer == null) {
        return;
      }
      try {
        channel.send(packet.bytes(), balancer);
      } catch (IOException e) {
        record.line("client", "cannot send: " + e);
      }
    }

    /** Sends a request on the open flow; its answer is awaited with {@link #awaitAnswer}. */
    void request(String id) {
      request(id, "");
    }

    /** Sends the only request of the flow, after whose answer the target closes it. */
    void lastRequest(String id) {
      request(id, "Connection: close\r\n");
    }

    private synchronized void request(String id, String header) {
      String data =
          "GET / HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id + "\r\n" + header + "\r\n";
      answer = "";
      record.line("client", "sends request " + id + " on port " + port);
      int seq = sent;
      sent += data.length();
      transmit(Packet.ACK, seq, data, 200);
    }

    /** Closes the client's end. */
    synchronized void close() {
      record.line("client", "closes port " + port);
      finSent = true;
      int seq = sent++;
      transmit(Packet.ACK | Packet.FIN, seq, "", 200);
    }

    private synchronized void transmit(int flags, int seq, String data, int retryMs) {
      int end = seq + data.length() + ((flags & Packet.FIN) != 0 ? 1 : 0);
      if (acked - end >= 0 || resetMs >= 0) {
        return;
      }
      send(flags, seq, received, data);
      timers.schedule(
          () -> transmit(flags, seq, data, Math.min(2 * retryMs, 1_600)),
          retryMs,
          TimeUnit.MILLISECONDS);
    }

    boolean awaitAnswer(int waitMs) throws InterruptedException {
      return await(waitMs, () -> !answer.isEmpty());
    }

    boolean awaitOpen(int waitMs) throws InterruptedException {
      return await(waitMs, this::isOpen);
    }

    boolean await(int waitMs, java.util.function.BooleanSupplier condition)
        throws InterruptedException {
      long endNs = System.nanoTime() + waitMs * 1_000_000L;
      while (!condition.getAsBoolean() && System.nanoTime() < endNs && resetMs < 0) {
        Thread.sleep(2);
      }
      return condition.getAsBoolean();
    }

    private synchronized void handle(Packet packet) {
      if (packet.has(Packet.RST)) {
        resetBySystem = packet.sum() == 0;
        String by = resetBySystem ? "the system" : "the target";
        record.line("client", "gets a reset of " + by + " on port " + port + (isOpen() ? " (open)" : ""));
        if (isOpen()) {
          resetMs = record.nowMs();
        } else {
          refused = true;
        }
        return;
      }
      if (packet.has(Packet.SYN)) {
        if (packet.ack() == isn + 1 && !isOpen() && !refused) {
          received = packet.seq() + 1;
          openedMs = record.nowMs();
          record.line("client", "gets the acceptance on port " + port);
        }
        return;
      }
      if (!isOpen()) {
        return;
      }
      if (packet.ack() - acked > 0) {
        acked = packet.ack();
        finAcked |= finSent && acked == sent;
      }
      int length = packet.data().length() + (packet.has(Packet.FIN) ? 1 : 0);
      if (length == 0) {
        return;
      }
      if (packet.seq() == received) {
        received += length;
        if (!packet.data().isEmpty()) {
          answer = packet.data();
          record.line("client", "gets an answer on port " + port + ": " + answer.replaceAll("(?s).*\r\n\r\n", ""));
        }
        if (packet.has(Packet.FIN)) {
          peerClosed = true;
          record.line("client", "gets the target's close on port " + port);
        }
      }
      send(Packet.ACK, sent, received, "");
    }
  }

  private static long key(int port, int toPort) {
    return (long) toPort << 32 | port;
  }

  /** Sends an opening from a port; its copies follow while it is not accepted. */
  Flow open(int port, String host, int toPort) {
    Flow flow = new Flow(port, host, toPort);
    flows.put(key(port, toPort), flow);
    flow.sendOpening(0);
    for (int i = 0; i < COPIES_MS.length; i++) {
      int copy = i + 1;
      timers.schedule(() -> flow.sendOpening(copy), COPIES_MS[i], TimeUnit.MILLISECONDS);
    }
    timers.schedule(() -> flow.refused |= !flow.isOpen(), OPENING_MS, TimeUnit.MILLISECONDS);
    return flow;
  }

  private void receive() {
    ByteBuffer buffer = ByteBuffer.allocate(2_048);
    while (channel.isOpen()) {
      try {
        buffer.clear();
        channel.receive(buffer);
        Packet packet = Packet.read(buffer.flip());
        Flow flow = flows.get(key(packet.dport(), packet.sport()));
        if (flow != null) {
          flow.handle(packet);
        }
      } catch (IOException e) {
        // The client has ended.
      }
    }
  }

  @Override
  public void close() throws IOException {
    timers.shutdownNow();
    channel.close();
  }
}
