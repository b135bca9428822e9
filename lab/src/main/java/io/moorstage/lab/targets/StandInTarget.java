package io.moorstage.lab.targets;

import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.process.Ports;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import javax.annotation.Nullable;

/**
 * A target as the platform's documentation specifies it: accepts flows, runs each request once,
 * returns packets of flows that it does not hold, and has a TCP port of the same number for health
 * checks, which accepts connections and sends nothing. With {@link TargetWork}, requests take time,
 * and a target whose queue is full returns openings and rejects requests of open flows.
 * Thread-safe.
 */
public final class StandInTarget implements AutoCloseable {
  /**
   * Together 1 s: the thread of the previous start has to be scheduled once before its port is
   * free.
   */
  private static final int BIND_RETRIES = 100;

  private static final long BIND_RETRY_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(10);

  /** The slowdown of the uneven-targets workload. */
  public static final int SLOWDOWN = 5;

  /** Requests that started slow may go on for this long after the target has recovered. */
  private static final int SLOW_AFTERMATH_MS = 2_000;

  private final TargetStart start;
  private final TargetListener listener;
  private final DatagramChannel channel;
  private final ServerSocketChannel health;
  private final SocketAddress egress;
  private final Set<Integer> acceptedPorts = new HashSet<>();
  private final Set<Integer> heldPorts = new HashSet<>();
  private final Map<String, String> responses = new HashMap<>();
  @Nullable private final TargetWork work;
  private final Random random = new Random();
  private final ScheduledExecutorService workers;
  private final Set<String> pending = new HashSet<>();
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private int inProgress;
  private long idleSinceMs = System.currentTimeMillis();
  private long slowUntilMs;
  private volatile boolean alive = true;

  /**
   * Starts a target at the ports of its address.
   *
   * @throws IOException if a port can't be bound
   */
  public StandInTarget(TargetStart start, TargetListener listener) throws IOException {
    this(start, listener, null);
  }

  /**
   * Starts a target whose requests take time.
   *
   * @param work the work of its requests; null if it answers each at once
   * @throws IOException if a port can't be bound
   */
  public StandInTarget(TargetStart start, TargetListener listener, @Nullable TargetWork work)
      throws IOException {
    this.start = start;
    this.work = work;
    this.workers =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread worker = new Thread(task, "work-" + start.id());
              worker.setDaemon(true);
              return worker;
            });
    this.listener = listener;
    InetSocketAddress ownEndpoint = new InetSocketAddress(start.address(), Ports.APP);
    this.channel = bind(ownEndpoint);
    this.health = ServerSocketChannel.open().bind(ownEndpoint);
    this.egress = new InetSocketAddress(start.address(), Ports.EGRESS);
    Thread thread = new Thread(this::serve, "target-" + start.id());
    thread.setDaemon(true);
    thread.start();
  }

  // The port is free only after the thread of the previous start has noticed that it was closed.
  private static DatagramChannel bind(InetSocketAddress ownEndpoint) throws IOException {
    DatagramChannel channel = DatagramChannel.open();
    for (int retries = 0; ; retries++) {
      try {
        return channel.bind(ownEndpoint);
      } catch (BindException e) {
        if (retries == BIND_RETRIES) {
          throw e;
        }
        LockSupport.parkNanos(BIND_RETRY_INTERVAL_NS);
      }
    }
  }

  /** Returns the description of this start. */
  public TargetStart start() {
    return start;
  }

  /** Returns whether the target has not been closed. */
  public boolean isAlive() {
    return alive;
  }

  /** Returns whether the target is alive and holds the flow of a client's port. */
  public synchronized boolean holds(int clientPort) {
    return alive && heldPorts.contains(clientPort);
  }

  /**
   * Returns since when the target has had no request, in milliseconds since the epoch; {@code
   * Long.MAX_VALUE} if it has one.
   */
  public synchronized long idleSinceMs() {
    return inProgress > 0 ? Long.MAX_VALUE : idleSinceMs;
  }

  /** Makes requests that start before some time take {@link #SLOWDOWN} times as long. */
  public synchronized void slowDownUntil(long untilMs) {
    slowUntilMs = untilMs;
  }

  /** Returns whether the target has been slow, or had requests that started then, since a time. */
  public synchronized boolean wasSlowSince(long sinceMs) {
    return slowUntilMs + SLOW_AFTERMATH_MS > sinceMs;
  }

  private void serve() {
    ByteBuffer packet = ByteBuffer.allocate(Packets.BUFFER_BYTES);
    try {
      while (true) {
        packet.clear();
        channel.receive(packet);
        handle(packet.flip());
      }
    } catch (ClosedChannelException e) {
      // The target was closed.
    } catch (IOException e) {
      throw new UncheckedIOException("target " + start.id(), e);
    }
  }

  private synchronized void handle(ByteBuffer packet) throws IOException {
    listener.onPacket(packet);
    int clientPort = Packets.sourcePort(packet);
    if (Packets.isOpening(packet)) {
      if (isFull() && !acceptedPorts.contains(clientPort)) {
        listener.onReturned(packet);
        channel.send(Packets.returned(packet), egress);
        return;
      }
      acceptedPorts.add(clientPort);
      channel.send(Packets.accepted(packet, start.sequence()), egress);
      return;
    }
    boolean completesOpening =
        acceptedPorts.contains(clientPort) && Packets.ack(packet) == start.sequence() + 1;
    if (completesOpening && heldPorts.add(clientPort)) {
      listener.onOpened(packet);
    }
    if (heldPorts.contains(clientPort)) {
      handleRequest(packet);
    } else {
      listener.onReturned(packet);
      channel.send(Packets.returned(packet), egress);
    }
  }

  private void handleRequest(ByteBuffer packet) throws IOException {
    String text = Packets.text(packet);
    // The text holds the request's number, which tells flows apart that use one port in turn.
    String key = Packets.sourcePort(packet) + ":" + Packets.sequence(packet) + ":" + text;
    if (work == null) {
      responses.computeIfAbsent(key, request -> runNow(text, packet));
    } else if (!responses.containsKey(key)) {
      begin(key, text, Packets.copyOf(packet));
    }
    if (responses.containsKey(key)) {
      respond(packet, key);
    }
  }

  private String runNow(String text, ByteBuffer packet) {
    listener.onRun(packet);
    return listener.runRequest(text);
  }

  private void respond(ByteBuffer packet, String key) throws IOException {
    channel.send(Packets.response(packet, start.sequence() + 1, responses.get(key)), egress);
  }

  private boolean isFull() {
    return work != null && inProgress >= work.capacity() && queue.size() >= work.queueLength();
  }

  private void begin(String key, String text, ByteBuffer packet) {
    if (pending.contains(key)) {
      return;
    }
    if (isFull()) {
      responses.put(key, listener.rejectRequest(text));
      return;
    }
    pending.add(key);
    queue.addLast(() -> run(key, text, packet));
    startNext();
  }

  private void startNext() {
    while (inProgress < work.capacity() && !queue.isEmpty()) {
      inProgress++;
      queue.removeFirst().run();
    }
  }

  private void run(String key, String text, ByteBuffer packet) {
    String response = runNow(text, packet);
    boolean isSlow = System.currentTimeMillis() < slowUntilMs;
    long durationMs = work.drawMs(random) * (isSlow ? SLOWDOWN : 1);
    // The result is not awaited; end() ignores requests of a target that was closed meanwhile.
    ScheduledFuture<?> unused =
        workers.schedule(() -> end(key, response, packet), durationMs, TimeUnit.MILLISECONDS);
  }

  private synchronized void end(String key, String response, ByteBuffer packet) {
    if (!alive) {
      return;
    }
    pending.remove(key);
    responses.put(key, response);
    inProgress--;
    startNext();
    if (inProgress == 0) {
      idleSinceMs = System.currentTimeMillis();
    }
    try {
      respond(packet, key);
    } catch (IOException e) {
      throw new UncheckedIOException("target " + start.id(), e);
    }
  }

  /** Stops the target at once, without notice to its flows. */
  @Override
  public synchronized void close() throws IOException {
    alive = false;
    workers.shutdownNow();
    channel.close();
    health.close();
  }
}
