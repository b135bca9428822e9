package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Timer;
import java.util.TimerTask;

/**
 * A stand-in for a target: accepts flows, answers requests, and sends back what it does not hold.
 * It knows flows by their client's end, and keeps them until it ends.
 */
final class Target implements AutoCloseable {
  /**
   * The path of requests that take {@link #WORK_MS}, of which a target works on {@link #SLOTS} at a
   * time; others are answered at once.
   */
  static final String SLOW_PATH = "/track";

  /** About the mean work of a request of the site. */
  private static final int WORK_MS = 60;

  private static final int SLOTS = 5;

  /** Tries after which a target gives up an answer, and the first wait between them. */
  private static final int MAX_TRIES = 8;

  private static final int RETRY_MS = 200;
  private static final int MAX_RETRY_MS = 1_600;

  private final String id;
  private final String service;
  private final String zone;
  private final String address;
  private final Ports ports;
  private final Record record;
  private final int initialSequence;
  private final DatagramChannel channel;
  private final ServerSocket health;
  private final InetSocketAddress outbound;
  private final Timer timer = new Timer("retries", true);
  private final Map<Packet.End, Flow> flows = new HashMap<>();
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private volatile boolean alive = true;
  private int busySlots;
  private int entrySequence;

  /** A flow that this target has accepted. */
  private static final class Flow {
    private boolean open;
    private int received;
    private Packet answer;
    private int sent;
    private int acknowledged;
  }

  Target(String id, String service, String zone, String address, Ports ports, Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.address = address;
    this.ports = ports;
    this.record = record;
    this.initialSequence = (id.hashCode() & 0xFFFFFF) * 16 + 1;
    channel = DatagramChannel.open().bind(new InetSocketAddress(address, ports.app()));
    health = new ServerSocket(ports.app(), 50, InetAddress.getByName(address));
    outbound = new InetSocketAddress(address, ports.outbound());
    daemon("target-" + id, this::receive);
    daemon("health-" + id, this::acceptHealthChecks);
    record.add("target " + id + " of " + service + " starts at " + address);
  }

  private static void daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  String id() {
    return id;
  }

  String address() {
    return address;
  }

  String service() {
    return service;
  }

  String zone() {
    return zone;
  }

  boolean isAlive() {
    return alive;
  }

  /** Returns the key of this target's entry in the store. */
  String key() {
    return "servers/" + id;
  }

  /** Returns the value of this target's entry in the store. */
  synchronized String entry(String state) {
    entrySequence++;
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + ":" + ports.app()
        + "\",\"zone\":\"" + zone + "\",\"version\":\"1.0\",\"capacity\":" + SLOTS
        + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"sequence\":" + entrySequence + "}";
  }

  /** Returns whether the target runs and holds the open flow of a client's end. */
  synchronized boolean holds(Packet.End client) {
    Flow flow = flows.get(client);
    return alive && flow != null && flow.open;
  }

  private void receive() {
    ByteBuffer buffer = ByteBuffer.allocate(Packet.MAX_BYTES);
    try {
      while (true) {
        buffer.clear();
        channel.receive(buffer);
        handle(buffer.flip());
      }
    } catch (ClosedChannelException e) {
      // The target has ended.
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private synchronized void handle(ByteBuffer bytes) throws IOException {
    Packet packet = Packet.decode(bytes);
    if (!Packet.isUnchanged(bytes)) {
      record.add("target " + id + " got a changed packet: " + packet);
      return;
    }
    Flow flow = flows.get(packet.source());
    if (packet.isOpening()) {
      record.add("target " + id + " takes the opening of port " + packet.source().port());
      flows.computeIfAbsent(packet.source(), end -> new Flow()).received = packet.sequence() + 1;
      send(reply(packet, Packet.SYN | Packet.ACK, initialSequence, packet.sequence() + 1, ""));
      return;
    }
    if (flow != null && !flow.open && packet.ack() == initialSequence + 1) {
      flow.open = true;
      flow.sent = initialSequence + 1;
      record.add("target " + id + " holds the open flow of port " + packet.source().port());
    }
    record.countPacket(packet.source(), flow != null && flow.open);
    if (flow == null || !flow.open) {
      record.add("target " + id + " sends back a packet of port " + packet.source().port());
      channel.send(Packet.bounced(bytes), outbound);
      return;
    }
    flow.acknowledged = Math.max(flow.acknowledged, packet.ack());
    if (packet.data().isEmpty()) {
      return;
    }
    if (packet.sequence() != flow.received) {
      // A repeated request: its answer is repeated, unless the target still works on it.
      if (flow.answer != null && flow.answer.ack() == flow.received) {
        send(flow.answer);
      }
      return;
    }
    run(flow, packet);
    if (packet.data().startsWith("GET " + SLOW_PATH)) {
      queue.add(() -> answer(flow, packet));
      startNext();
    } else {
      answer(flow, packet);
    }
  }

  private synchronized void startNext() {
    while (busySlots < SLOTS && !queue.isEmpty()) {
      busySlots++;
      Runnable request = queue.poll();
      schedule(WORK_MS, () -> end(request));
    }
  }

  private synchronized void end(Runnable request) {
    busySlots--;
    if (alive) {
      request.run();
      startNext();
    }
  }

  private void schedule(int delayMs, Runnable task) {
    timer.schedule(
        new TimerTask() {
          @Override
          public void run() {
            task.run();
          }
        },
        delayMs);
  }

  private void run(Flow flow, Packet packet) {
    record.add("target " + id + " runs " + requestOf(packet));
    flow.received = packet.sequence() + packet.data().length();
  }

  private static String requestOf(Packet packet) {
    return packet.data().replaceAll("(?s).*Request-Id: (\\S+).*", "$1");
  }

  private synchronized void answer(Flow flow, Packet packet) {
    String body = requestOf(packet) + " by " + id;
    String text = "HTTP/1.1 200 OK\r\nServer-Signature: " + id + "\r\nContent-Length: "
        + body.length() + "\r\n\r\n" + body;
    flow.answer = reply(packet, Packet.ACK, flow.sent, flow.received, text);
    flow.sent += text.length();
    sendUntilAcknowledged(flow, flow.answer, 1, RETRY_MS);
  }

  private synchronized void sendUntilAcknowledged(Flow flow, Packet answer, int tries, int waitMs) {
    boolean missing = flow.acknowledged < answer.sequence() + answer.data().length();
    if (!alive || flow.answer != answer || !missing || tries > MAX_TRIES) {
      return;
    }
    try {
      send(answer);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    int nextWaitMs = Math.min(MAX_RETRY_MS, 2 * waitMs);
    schedule(waitMs, () -> sendUntilAcknowledged(flow, answer, tries + 1, nextWaitMs));
  }

  private static Packet reply(Packet to, int flags, int sequence, int ack, String data) {
    return new Packet(flags, sequence, ack, to.destination(), to.source(), data);
  }

  private void send(Packet packet) throws IOException {
    channel.send(packet.encode(), outbound);
  }

  // A health check is answered on a connection of its own, which closes after it.
  private void acceptHealthChecks() {
    while (alive) {
      try (Socket connection = health.accept()) {
        connection.setSoTimeout(500);
        if (connection.getInputStream().read() >= 0) {
          connection
              .getOutputStream()
              .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes());
        }
      } catch (IOException e) {
        // The caller has closed the connection, or the target has ended.
      }
    }
  }

  /** Ends the target at once, without notice; its flows are lost. */
  @Override
  public synchronized void close() throws IOException {
    alive = false;
    timer.cancel();
    channel.close();
    health.close();
    record.add("target " + id + " ends");
  }
}
