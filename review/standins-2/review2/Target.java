package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A sound target: takes flows, runs each request once, returns packets of flows that it does not
 * hold, keeps its flows while it drains and closes each after its next answer, and answers health
 * checks over TCP.
 */
final class Target implements AutoCloseable {
  private static final int HEARTBEAT_MS = 1_200;
  private static final int FIRST_RETRY_MS = 200;
  private static final int LAST_RETRY_MS = 1_600;
  private static final int MAX_TRIES = 8;

  /** Receives what the target has seen. */
  interface Listener {
    default void onOpeningTaken(Target target, int client, int port, int copy) {}

    default void onRun(Target target, String requestId) {}
  }

  private final class Flow {
    final Packet opening;
    final int isn = ThreadLocalRandom.current().nextInt();
    boolean open;
    boolean finReceived;
    boolean finSent;
    boolean finAcked;
    int received;
    int sent = isn + 1;
    int acked = isn + 1;
    Packet pending;

    Flow(Packet opening) {
      this.opening = opening;
      received = opening.seq() + 1;
    }

    boolean hasEnded() {
      return finReceived && finAcked;
    }
  }

  final String id;
  final String service;
  final String address;
  private final Net net;
  private final String zone;
  private final Store store;
  private final Record record;
  private final Listener listener;
  private final int workMs;
  private final DatagramChannel channel;
  private final ServerSocket health;
  private final InetSocketAddress outbound;
  private final ScheduledExecutorService timers =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "target-timer");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<Long, Flow> flows = new HashMap<>();
  private int sequence;
  private volatile boolean draining;
  private boolean writtenDraining;
  private boolean hidden;
  private volatile boolean alive = true;

  Target(
      Net net,
      String id,
      String service,
      String zone,
      String address,
      int workMs,
      Store store,
      Record record,
      Listener listener)
      throws IOException {
    this.net = net;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.address = address;
    this.workMs = workMs;
    this.store = store;
    this.record = record;
    this.listener = listener;
    health = new ServerSocket();
    health.bind(Net.socket(address, net.app));
    channel = DatagramChannel.open().bind(Net.socket(address, net.app));
    outbound = Net.socket(address, net.outbound);
    start("target-" + id, this::serve);
    start("health-" + id, this::serveHealth);
    timers.scheduleAtFixedRate(this::writeEntry, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
  }

  private static void start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private synchronized void writeEntry() {
    if (!alive || hidden) {
      return;
    }
    sequence++;
    // The entry changes only when something besides the sequence does.
    if (sequence > 1 && draining == writtenDraining) {
      return;
    }
    writtenDraining = draining;
    store.put(
        "servers/" + id,
        "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"1\",\"capacity\":5,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":%d}"
            .formatted(
                service, address, net.app, zone, draining ? "draining" : "ready", sequence));
  }

  /** States that the target leaves; it is acknowledged when this returns. */
  void drain() {
    draining = true;
    writeEntry();
    record.line(id, "draining, acknowledged by the store");
  }

  /** Leaves as planned without a word of draining: the entry goes, and the target serves on. */
  synchronized void leaveUnsaid() {
    hidden = true;
    store.remove("servers/" + id);
    record.line(id, "its entry is gone, acknowledged by the store; it serves on");
  }

  boolean isAlive() {
    return alive;
  }

  private void serveHealth() {
    while (alive) {
      try (Socket caller = health.accept();
          OutputStream out = caller.getOutputStream()) {
        caller.setSoTimeout(100);
        if (caller.getInputStream().read() >= 0) {
          String status = draining ? "503 Leaving" : "200 OK";
          out.write(("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").getBytes());
        }
      } catch (IOException e) {
        // The caller has closed or says nothing; or the target has ended.
      }
    }
  }

  private void serve() {
    ByteBuffer buffer = ByteBuffer.allocate(2_048);
    while (alive) {
      try {
        buffer.clear();
        channel.receive(buffer);
        handle(Packet.read(buffer.flip()));
      } catch (IOException e) {
        // The target has ended.
      }
    }
  }

  private static long key(Packet packet) {
    return ((long) packet.src() << 32 | packet.sport()) * 31 + packet.dst() * 65_537L + packet.dport();
  }

  private void send(Flow flow, int flags, int seq, String data) throws IOException {
    Packet opening = flow.opening;
    channel.send(
        new Packet(
                flags,
                Packet.SUM,
                seq,
                flow.received,
                opening.dst(),
                opening.dport(),
                opening.src(),
                opening.sport(),
                data)
            .bytes(),
        outbound);
  }

  private void bounce(Packet packet) throws IOException {
    record.line(id, "returns a packet of port " + packet.sport() + ", flags " + packet.flags());
    ByteBuffer bytes = packet.bytes();
    bytes.put(0, (byte) (packet.flags() | Packet.BOUNCED));
    channel.send(bytes, outbound);
  }

  private synchronized void handle(Packet packet) throws IOException {
    Flow flow = flows.get(key(packet));
    if (packet.isOpening()) {
      boolean isCopy = flow != null && flow.opening.seq() == packet.seq();
      if (flow != null && flow.open && !flow.hasEnded() && !isCopy) {
        return;
      }
      if (flow == null || !isCopy) {
        flow = new Flow(packet);
        flows.put(key(packet), flow);
        record.line(id, "takes the opening of port " + packet.sport() + ", copy " + packet.ack());
        listener.onOpeningTaken(this, packet.src(), packet.sport(), packet.ack());
      }
      send(flow, Packet.SYN | Packet.ACK, flow.isn, "");
      return;
    }
    if (flow == null || !flow.open && packet.ack() != flow.isn + 1) {
      bounce(packet);
      return;
    }
    if (!flow.open) {
      flow.open = true;
      record.line(id, "has the flow of port " + packet.sport() + " open");
    }
    if (packet.has(Packet.RST)) {
      flows.remove(key(packet));
      return;
    }
    if (packet.ack() - flow.acked > 0) {
      flow.acked = packet.ack();
      if (flow.finSent && flow.acked == flow.sent) {
        flow.finAcked = true;
      }
    }
    if (!packet.data().isEmpty()) {
      onData(flow, packet);
    }
    if (packet.has(Packet.FIN)) {
      onFin(flow, packet);
    }
  }

  private void onData(Flow flow, Packet packet) throws IOException {
    if (packet.seq() != flow.received) {
      send(flow, Packet.ACK, flow.sent, "");
      return;
    }
    flow.received += packet.data().length();
    String request = packet.data().replaceAll("(?s).*Request-Id: (\\S+).*", "$1");
    record.line(id, "runs request " + request);
    listener.onRun(this, request);
    boolean isLast = packet.data().contains("Connection: close");
    timers.schedule(() -> answer(flow, request, isLast), workMs, TimeUnit.MILLISECONDS);
  }

  private synchronized void answer(Flow flow, String request, boolean isLast) {
    boolean closes = isLast || draining;
    String body = "done " + request + " by " + service;
    String data =
        "HTTP/1.1 200 OK\r\nServer-Signature: "
            + id
            + "\r\nContent-Length: "
            + body.length()
            + (closes ? "\r\nConnection: close" : "")
            + "\r\n\r\n"
            + body;
    record.line(id, "answers request " + request + (closes ? " and closes the flow" : ""));
    int flags = Packet.ACK;
    if (closes) {
      flags |= Packet.FIN;
      flow.finSent = true;
    }
    int seq = flow.sent;
    flow.sent += data.length() + (closes ? 1 : 0);
    transmit(flow, flags, seq, data, FIRST_RETRY_MS, 1);
  }

  private synchronized void transmit(
      Flow flow, int flags, int seq, String data, int retryMs, int tries) {
    int end = seq + data.length() + ((flags & Packet.FIN) != 0 ? 1 : 0);
    if (!alive || flow.acked - end >= 0 || tries > MAX_TRIES) {
      return;
    }
    try {
      send(flow, flags, seq, data);
    } catch (IOException e) {
      return;
    }
    timers.schedule(
        () -> transmit(flow, flags, seq, data, Math.min(2 * retryMs, LAST_RETRY_MS), tries + 1),
        retryMs,
        TimeUnit.MILLISECONDS);
  }

  private void onFin(Flow flow, Packet packet) throws IOException {
    if (packet.seq() + packet.data().length() == flow.received) {
      flow.received++;
      flow.finReceived = true;
      record.line(id, "gets the close of port " + packet.sport());
    }
    send(flow, Packet.ACK, flow.sent, "");
    if (!flow.finSent) {
      flow.finSent = true;
      int seq = flow.sent++;
      transmit(flow, Packet.ACK | Packet.FIN, seq, "", FIRST_RETRY_MS, 1);
    }
  }

  /** Ends the process of the target at once, without a word to anybody. */
  @Override
  public void close() throws IOException {
    alive = false;
    timers.shutdownNow();
    channel.close();
    health.close();
  }
}
