package io.moorstage.forwarding.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.flow.SegmentCodec;
import io.moorstage.core.model.Endpoint;
import io.moorstage.core.state.Evacuations;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.StateChanges;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import io.moorstage.core.state.WeightedService;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.settings.ForwardingSettings;
import io.moorstage.forwarding.state.StateSource;
import io.moorstage.forwarding.state.StateSourceException;
import io.moorstage.forwarding.state.StateSourceFailure;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against daemons whose components are not connected: a balancer and an agent run in one
 * process, on ports that the operating system assigns, and are tested over the network.
 */
class DaemonsTest {
  private static final int BALANCER = 0x7F530001;
  private static final int AGENT = 0x7F530002;
  private static final int CLIENT = 0x7F530003;
  private static final int SERVICE = 0x7F530004;
  private static final FlowId FLOW = new FlowId(CLIENT, 4_000, SERVICE, 443);
  private static final int MALFORMED_BYTES = 1;
  private static final byte[] OPEN = "open".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] ACCEPTED = "accepted".getBytes(StandardCharsets.US_ASCII);
  private static final int MAX_BYTES = 100;
  private static final int CLIENT_RETRY_MS = 200;
  private static final long TIMEOUT_MS = 15_000;

  private final int peerPort = freeUdpPort();
  private final int clientPort = freeUdpPort();
  private final int egressPort = freeUdpPort();
  private final int statePort = freeTcpPort();
  private final int metricsPort = freeTcpPort();
  private final int readinessPort = freeTcpPort();
  private final DatagramSocket target = socketAt(AGENT, 0);

  /** Listens for the connections with which the agent checks whether the target's process runs. */
  private final ServerSocket targetListener = listenAt(AGENT, target.getLocalPort());

  private final DatagramSocket client = socketAt(CLIENT, clientPort);
  private ForwardingDaemon balancer;
  private ForwardingDaemon agent;
  private Thread balancerLoop;
  private Thread agentLoop;

  @BeforeEach
  void start() throws IOException {
    TargetRecord record = new TargetRecord("t", "s", AGENT, "z", 5, TargetPhase.READY, 0, 1, 7);
    ForwardingRoute route =
        new ForwardingRoute(SERVICE, 443, 0, true, List.of(new WeightedService("s", 1)));
    FleetState state =
        FleetState.of(
            7,
            new ForwardingConfiguration(3, 60_000, List.of(route), Map.of()),
            List.of(record),
            Evacuations.NONE);
    balancer =
        new BalancerDaemon(
            settings(BALANCER), new PlainCodec(), sourceWith(state), new EventLog("balancer"));
    agent =
        new AgentDaemon(settings(AGENT), new PlainCodec(), sourceWith(null), new EventLog("agent"));
    balancer.start();
    agent.start();
    balancerLoop = runInBackground(balancer);
    agentLoop = runInBackground(agent);
  }

  @AfterEach
  void stop() throws InterruptedException, IOException {
    agent.stop();
    balancer.stop();
    agentLoop.join(TIMEOUT_MS);
    balancerLoop.join(TIMEOUT_MS);
    target.close();
    targetListener.close();
    client.close();
  }

  @Test
  void clientSegmentsReachTheTargetAndItsResponsesReachTheClient() throws Exception {
    awaitMetric(BALANCER, "moorstage_forwarding_ready_targets 1");
    Thread acceptingThread = new Thread(this::acceptOpenings);
    acceptingThread.setDaemon(true);
    acceptingThread.start();
    assertThat(openFlow()).isEqualTo(ACCEPTED);
  }

  @Test
  void balancerAndAgentDiscoverEachOtherAndTheAgentCopiesTheState() throws Exception {
    awaitMetric(AGENT, "moorstage_forwarding_balancers 1");
    awaitMetric(AGENT, "moorstage_forwarding_state_revision 7");
    awaitStatus(BALANCER, 200);
    awaitStatus(AGENT, 200);
  }

  @Test
  void malformedDatagramsAreCounted() throws Exception {
    send(client, new byte[] {0x7F}, BALANCER, peerPort);
    send(client, new byte[] {0x7F}, AGENT, peerPort);
    awaitMetric(BALANCER, "moorstage_forwarding_bad_peer_datagrams_total 1");
    awaitMetric(AGENT, "moorstage_forwarding_bad_peer_datagrams_total 1");
    send(client, new byte[MALFORMED_BYTES], BALANCER, clientPort);
    awaitMetric(BALANCER, "moorstage_forwarding_bad_client_datagrams_total 1");
  }

  @Test
  void stoppingBalancerIsNotReadyAndEndsAfterItsDrain() throws Exception {
    awaitStatus(BALANCER, 200);
    long stopBeganNs = System.nanoTime();
    balancer.stop();
    assertThat(status(BALANCER)).isEqualTo(503);
    balancerLoop.join(TIMEOUT_MS);
    assertThat(balancerLoop.isAlive()).isFalse();
    assertThat((System.nanoTime() - stopBeganNs) / 1_000_000).isAtLeast(BalancerDrain.MIN_MS);
  }

  @Test
  void stoppingAgentEndsAtOnce() throws Exception {
    awaitMetric(AGENT, "moorstage_forwarding_balancers 1");
    agent.stop();
    agentLoop.join(TIMEOUT_MS);
    assertThat(agentLoop.isAlive()).isFalse();
  }

  private ForwardingSettings settings(int address) {
    boolean isAgent = address == AGENT;
    return new ForwardingSettings(
        isAgent ? "agent" : "balancer",
        "z",
        address,
        peerPort,
        statePort,
        metricsPort,
        Endpoint.of(address, readinessPort),
        List.of(Endpoint.of(isAgent ? BALANCER : AGENT, peerPort)),
        Endpoint.of(BALANCER, 1),
        Endpoint.of(BALANCER, clientPort),
        isAgent ? Endpoint.of(AGENT, target.getLocalPort()) : null,
        isAgent ? Endpoint.of(AGENT, egressPort) : null,
        isAgent ? "s" : null,
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

  /** Accepts each opening as the target and ignores other datagrams until the socket is closed. */
  private void acceptOpenings() {
    try {
      while (true) {
        if (Arrays.equals(receive(target), OPEN)) {
          send(target, ACCEPTED, AGENT, egressPort);
        }
      }
    } catch (IOException e) {
      // The test has closed the socket.
      assertThat(target.isClosed()).isTrue();
    }
  }

  /**
   * Opens the flow as the client until the target accepts it, and returns the last response, which
   * is empty if the last attempt timed out. On a busy machine a response may be delayed by more
   * than 80 ms; the target then counts as unresponsive and the opening may be reset, so it is
   * retried as by a real client.
   */
  private byte[] openFlow() throws IOException {
    client.setSoTimeout(CLIENT_RETRY_MS);
    long deadlineNs = System.nanoTime() + TIMEOUT_MS * 1_000_000;
    byte[] lastReceived = {};
    while (!Arrays.equals(lastReceived, ACCEPTED) && System.nanoTime() < deadlineNs) {
      send(client, OPEN, BALANCER, clientPort);
      try {
        lastReceived = receive(client);
      } catch (SocketTimeoutException e) {
        lastReceived = new byte[0];
      }
    }
    return lastReceived;
  }

  private static byte[] receive(DatagramSocket socket) throws IOException {
    DatagramPacket packet = new DatagramPacket(new byte[MAX_BYTES], MAX_BYTES);
    socket.receive(packet);
    return Arrays.copyOf(packet.getData(), packet.getLength());
  }

  private static void send(DatagramSocket from, byte[] datagram, int address, int port)
      throws IOException {
    from.send(new DatagramPacket(datagram, datagram.length, inetAddress(address), port));
  }

  private void awaitMetric(int address, String line) throws Exception {
    String page = "";
    long deadlineNs = System.nanoTime() + TIMEOUT_MS * 1_000_000;
    while (System.nanoTime() < deadlineNs) {
      page = readMetrics(address);
      if (List.of(page.split("\n", -1)).contains(line)) {
        return;
      }
      Thread.sleep(50);
    }
    assertThat(page).contains(line);
  }

  private String readMetrics(int address) {
    try {
      URI uri = URI.create("http://" + Endpoint.of(address, metricsPort) + "/metrics");
      return new String(uri.toURL().openStream().readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      return "no response: " + e;
    }
  }

  private void awaitStatus(int address, int expected) throws Exception {
    long deadlineNs = System.nanoTime() + TIMEOUT_MS * 1_000_000;
    while (status(address) != expected && System.nanoTime() < deadlineNs) {
      Thread.sleep(50);
    }
    assertThat(status(address)).isEqualTo(expected);
  }

  private int status(int address) {
    try {
      URI uri = URI.create("http://" + Endpoint.of(address, readinessPort) + "/");
      return ((HttpURLConnection) uri.toURL().openConnection()).getResponseCode();
    } catch (IOException e) {
      return -1;
    }
  }

  private static StateSource sourceWith(FleetState state) {
    return new StateSource() {
      @Override
      public FleetState readAll() throws StateSourceException {
        if (state == null) {
          throw new StateSourceException(StateSourceFailure.REFUSED, "status 503");
        }
        return state;
      }

      @Override
      public StateChanges awaitChanges(long afterRevision, int waitMs) throws StateSourceException {
        try {
          Thread.sleep(waitMs);
        } catch (InterruptedException e) {
          throw new StateSourceException(StateSourceFailure.UNREACHABLE, "interrupted");
        }
        return new StateChanges(afterRevision, List.of(), Map.of(), null, List.of());
      }

      @Override
      public long unusableItems() {
        return 0;
      }

      @Override
      public long responsesWithoutEra() {
        return 0;
      }
    };
  }

  /** Decodes every datagram but the shortest as a segment of one flow. */
  private static final class PlainCodec implements SegmentCodec {
    @Override
    public Segment decodeFromClient(ByteBuffer datagram) {
      return segment(datagram, Segment.Kind.OPEN);
    }

    @Override
    public Segment decodeFromTarget(ByteBuffer datagram) {
      return segment(datagram, Segment.Kind.OPEN_ACCEPTED);
    }

    private static Segment segment(ByteBuffer datagram, Segment.Kind kind) {
      return datagram.remaining() == MALFORMED_BYTES
          ? null
          : new Segment(FLOW, kind, 0, false, 1, 1, 0);
    }

    @Override
    public void clearReturned(ByteBuffer datagram) {}

    @Override
    public void encodeReset(FlowId flow, int sequence, ByteBuffer datagram) {
      datagram.put((byte) 'r').flip();
    }
  }

  private static InetAddress inetAddress(int address) throws IOException {
    return InetAddress.getByAddress(ByteBuffer.allocate(4).putInt(address).array());
  }

  private static DatagramSocket socketAt(int address, int port) {
    try {
      return new DatagramSocket(new InetSocketAddress(inetAddress(address), port));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static ServerSocket listenAt(int address, int port) {
    try {
      return new ServerSocket(port, 50, inetAddress(address));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static int freeUdpPort() {
    try (DatagramSocket socket = new DatagramSocket()) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static int freeTcpPort() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
