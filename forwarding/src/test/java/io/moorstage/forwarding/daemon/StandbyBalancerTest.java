package io.moorstage.forwarding.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.flow.SegmentCodec;
import io.moorstage.core.model.Endpoint;
import io.moorstage.core.state.Evacuations;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.StateChanges;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.settings.ForwardingSettings;
import io.moorstage.forwarding.state.StateSource;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a balancer that serves an old configuration for good: it leaves reading the source
 * to another balancer of its zone, which can send its state to no node.
 */
class StandbyBalancerTest {
  private static final List<Integer> BALANCERS = List.of(0x7F540001, 0x7F540002, 0x7F540003);

  /** The time in which an accepted configuration has to be in force, in milliseconds. */
  private static final int CONFIGURATION_BOUND_MS = 3_000;

  private static final int START_TIMEOUT_MS = 15_000;
  private static final long READER_ELECTION_MS = 4_000;

  /** Longer than the text that the encoding of a state can hold. */
  private static final int UNENCODABLE_LENGTH = 70_000;

  private final int peerPort = freeUdpPort();
  private final int clientPort = freeUdpPort();
  private final int statePort = freeTcpPort();
  private final int metricsPort = freeTcpPort();
  private final int readinessPort = freeTcpPort();
  private final Source source = new Source();
  private final List<ForwardingDaemon> daemons = new ArrayList<>();
  private final List<Thread> loops = new ArrayList<>();

  @AfterEach
  void stop() throws InterruptedException {
    daemons.forEach(ForwardingDaemon::stop);
    for (Thread loop : loops) {
      loop.join(START_TIMEOUT_MS);
    }
  }

  private void startBalancers() throws IOException {
    for (int address : BALANCERS) {
      ForwardingDaemon balancer =
          new BalancerDaemon(
              settings(address), new NoSegments(), source, new EventLog("b" + address));
      balancer.start();
      daemons.add(balancer);
      loops.add(runInBackground(balancer));
    }
  }

  @Test
  void changesAreInForceAtAllBalancersThoughNoStateCanBeEncoded() throws Exception {
    startBalancers();
    awaitVersion(Source.FIRST_VERSION, START_TIMEOUT_MS);
    Thread.sleep(READER_ELECTION_MS);
    source.writeTarget("s".repeat(UNENCODABLE_LENGTH));
    for (long version = Source.FIRST_VERSION + 1; version < Source.FIRST_VERSION + 4; version++) {
      source.write(configuration(version));
      awaitVersion(version, CONFIGURATION_BOUND_MS);
    }
  }

  private static ForwardingConfiguration configuration(long version) {
    return new ForwardingConfiguration(version, 60_000, List.of(), Map.of());
  }

  private void awaitVersion(long version, int timeoutMs) throws Exception {
    long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000L;
    String line = "moorstage_forwarding_configuration_version " + version;
    List<Integer> behind = new ArrayList<>(BALANCERS);
    while (!behind.isEmpty() && System.nanoTime() < deadlineNs) {
      behind.removeIf(address -> metricsOf(address).contains(line));
      Thread.sleep(20);
    }
    assertThat(behind).isEmpty();
  }

  private List<String> metricsOf(int address) {
    try {
      URI uri = URI.create("http://" + Endpoint.of(address, metricsPort) + "/metrics");
      byte[] page = uri.toURL().openStream().readAllBytes();
      return List.of(new String(page, StandardCharsets.UTF_8).split("\n", -1));
    } catch (IOException e) {
      return List.of();
    }
  }

  private ForwardingSettings settings(int address) {
    List<Endpoint> seeds = new ArrayList<>();
    for (int seed : BALANCERS) {
      seeds.add(Endpoint.of(seed, peerPort));
    }
    return new ForwardingSettings(
        "balancer",
        "z",
        address,
        peerPort,
        statePort,
        metricsPort,
        Endpoint.of(address, readinessPort),
        seeds,
        Endpoint.of(address, 1),
        Endpoint.of(address, clientPort),
        null,
        null,
        null,
        false,
        Set.of());
  }

  private static Thread runInBackground(ForwardingDaemon daemon) {
    Thread thread =
        new Thread(
            () -> {
              try {
                daemon.run();
              } catch (InterruptedException | IOException e) {
                throw new IllegalStateException(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static int freeUdpPort() {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static int freeTcpPort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A source that all balancers read. Each write is one revision. */
  private static final class Source implements StateSource {
    private static final long FIRST_VERSION = 3;

    private final List<TargetRecord> targets = new ArrayList<>();
    private ForwardingConfiguration configuration = configuration(FIRST_VERSION);
    private long revision = 1;

    private synchronized void writeTarget(String service) {
      revision++;
      targets.add(
          new TargetRecord("x", service, 1, "z", 5, TargetPhase.READY, 0, revision, revision));
      notifyAll();
    }

    private synchronized void write(ForwardingConfiguration next) {
      revision++;
      configuration = next;
      notifyAll();
    }

    @Override
    public synchronized FleetState readAll() {
      return FleetState.of(revision, configuration, targets, Evacuations.NONE);
    }

    @Override
    public synchronized StateChanges awaitChanges(long afterRevision, int waitMs) {
      long deadlineNs = System.nanoTime() + waitMs * 1_000_000L;
      long leftMs = waitMs;
      while (revision <= afterRevision && leftMs > 0) {
        try {
          wait(leftMs);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
        leftMs = (deadlineNs - System.nanoTime()) / 1_000_000;
      }
      return new StateChanges(revision, targets, Map.of(), configuration, List.of());
    }

    @Override
    public long unusableItems() {
      return 0;
    }

    @Override
    public long responsesWithoutEra() {
      return 0;
    }
  }

  private static final class NoSegments implements SegmentCodec {
    @Override
    public Segment decodeFromClient(ByteBuffer datagram) {
      return null;
    }

    @Override
    public Segment decodeFromTarget(ByteBuffer datagram) {
      return null;
    }

    @Override
    public void clearReturned(ByteBuffer datagram) {}

    @Override
    public void encodeReset(FlowId flow, int sequence, ByteBuffer datagram) {}
  }
}
