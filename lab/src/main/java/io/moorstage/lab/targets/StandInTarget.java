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
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A target as the platform's documentation specifies it: accepts flows, runs each request once,
 * returns packets of flows that it does not hold, and has a TCP port of the same number for health
 * checks, which accepts connections and sends nothing. Thread-safe.
 */
public final class StandInTarget implements AutoCloseable {
  /**
   * Together 1 s: the thread of the previous start has to be scheduled once before its port is
   * free.
   */
  private static final int BIND_RETRIES = 100;

  private static final long BIND_RETRY_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(10);

  private final TargetStart start;
  private final TargetListener listener;
  private final DatagramChannel channel;
  private final ServerSocketChannel health;
  private final SocketAddress egress;
  private final Set<Integer> acceptedPorts = new HashSet<>();
  private final Set<Integer> heldPorts = new HashSet<>();
  private final Map<String, String> responses = new HashMap<>();
  private volatile boolean alive = true;

  /**
   * Starts a target at the ports of its address.
   *
   * @throws IOException if a port can't be bound
   */
  public StandInTarget(TargetStart start, TargetListener listener) throws IOException {
    this.start = start;
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
      channel.send(Packets.response(packet, start.sequence() + 1, responseTo(packet)), egress);
    } else {
      listener.onReturned(packet);
      channel.send(Packets.returned(packet), egress);
    }
  }

  private String responseTo(ByteBuffer packet) {
    String request = Packets.sourcePort(packet) + ":" + Packets.sequence(packet);
    return responses.computeIfAbsent(request, key -> listener.runRequest(Packets.text(packet)));
  }

  /** Stops the target at once, without notice to its flows. */
  @Override
  public synchronized void close() throws IOException {
    alive = false;
    channel.close();
    health.close();
  }
}
