package io.moorstage.lab.client;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.monitor.MonitoringClientListener;
import io.moorstage.lab.monitor.Rule;
import io.moorstage.lab.monitor.RuleMonitor;
import io.moorstage.lab.process.Ports;
import io.moorstage.lab.router.Router;
import io.moorstage.lab.targets.StandInTarget;
import io.moorstage.lab.targets.TargetStart;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests clients whose balancer is simulated by the test, which violates each rule that clients
 * check.
 */
class FlowClientsTest {
  private static final String BALANCER = "127.80.1.1";
  private static final String SIDE = "127.80.2.3";
  private static final String CLIENTS = "127.80.9.2";
  private static final FlowPlan PLAN = new FlowPlan(new Packets.End(0xC6120001, 443), 2);
  private static final int RESET = 8;
  private static final int TIMEOUT_MS = 10_000;

  private final RuleMonitor monitor = new RuleMonitor();
  private final TargetStart start = TargetStart.of("t", "tables", SIDE, "z", 1);
  private HttpServer readiness;
  private Router router;
  private DatagramChannel balancer;
  private DatagramChannel agent;
  private StandInTarget target;
  private FlowClients clients;

  /** Opens one flow as soon as the router has a ready balancer. */
  private final class SingleFlow implements Traffic {
    private final AtomicBoolean opened = new AtomicBoolean();

    @Override
    public Optional<FlowPlan> next(long nowMs) {
      boolean opens = router.balancerFor(0).isPresent() && !opened.getAndSet(true);
      return opens ? Optional.of(PLAN) : Optional.empty();
    }

    @Override
    public int thinkTimeMs() {
      return 0;
    }
  }

  @BeforeEach
  void startAll() throws IOException {
    readiness = HttpServer.create(new InetSocketAddress(BALANCER, Ports.READY), 0);
    readiness.createContext(
        "/",
        exchange -> {
          exchange.sendResponseHeaders(200, -1);
          exchange.close();
        });
    readiness.start();
    balancer = channel(BALANCER, Ports.CLIENT);
    agent = channel(SIDE, Ports.EGRESS);
    target = new StandInTarget(start, request -> "done");
    router = new Router(List.of(BALANCER));
    clients =
        new FlowClients(
            List.of(CLIENTS),
            router,
            new SingleFlow(),
            new MonitoringClientListener(monitor),
            sequence -> sequence == start.sequence() ? target : null);
    clients.start();
  }

  private static DatagramChannel channel(String address, int port) throws IOException {
    DatagramChannel channel = DatagramChannel.open().bind(new InetSocketAddress(address, port));
    channel.socket().setSoTimeout(TIMEOUT_MS);
    return channel;
  }

  @AfterEach
  void stopAll() throws Exception {
    clients.close();
    router.close();
    target.close();
    agent.close();
    balancer.close();
    readiness.stop(0);
  }

  private static ByteBuffer receive(DatagramChannel channel) throws IOException {
    byte[] bytes = new byte[Packets.BUFFER_BYTES];
    DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
    channel.socket().receive(packet);
    return ByteBuffer.wrap(bytes, 0, packet.getLength());
  }

  private void reply(ByteBuffer packet) throws IOException {
    balancer.send(packet, new InetSocketAddress(CLIENTS, Ports.CLIENT));
  }

  /** Accepts the flow and returns its first request. */
  private ByteBuffer firstRequest() throws IOException {
    reply(Packets.accepted(receive(balancer), start.sequence()));
    ByteBuffer packet = receive(balancer);
    while (Packets.isOpening(packet)) {
      packet = receive(balancer);
    }
    return packet;
  }

  private void respond(ByteBuffer request, String text) throws IOException {
    reply(Packets.response(request, start.sequence() + 1, text));
  }

  private void awaitBreach(Rule rule) throws InterruptedException {
    long deadlineMs = System.currentTimeMillis() + TIMEOUT_MS;
    while (monitor.breaches().isEmpty() && System.currentTimeMillis() < deadlineMs) {
      Thread.sleep(5);
    }
    assertThat(monitor.breaches()).hasSize(1);
    assertThat(monitor.breaches().get(0)).contains(" " + rule + ": ");
  }

  @Test
  void responsesOfTheFlowsTargetCountAsServed() throws Exception {
    respond(firstRequest(), "1 t");
    ByteBuffer second = receive(balancer);
    while (!Packets.text(second).trim().equals("2")) {
      second = receive(balancer);
    }
    respond(second, "2 t");
    long deadlineMs = System.currentTimeMillis() + TIMEOUT_MS;
    while (clients.hasOpenFlows() && System.currentTimeMillis() < deadlineMs) {
      Thread.sleep(5);
    }
    assertThat(monitor.servedCount()).isEqualTo(2);
    assertThat(monitor.failedCount()).isEqualTo(0);
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void responseOfAnotherTargetIsReported() throws Exception {
    respond(firstRequest(), "1 another");
    awaitBreach(Rule.FOREIGN_ANSWER);
  }

  @Test
  void malformedResponseIsReported() throws Exception {
    respond(firstRequest(), "nonsense");
    awaitBreach(Rule.FOREIGN_ANSWER);
  }

  @Test
  void acceptanceOfAnUnknownTargetIsReported() throws Exception {
    reply(Packets.accepted(receive(balancer), start.sequence() + 1));
    awaitBreach(Rule.FOREIGN_PACKET);
  }

  @Test
  void resetOfAFlowThatItsTargetHoldsIsReported() throws Exception {
    ByteBuffer open = receive(balancer);
    InetSocketAddress app = new InetSocketAddress(SIDE, Ports.APP);
    agent.send(open.duplicate(), app);
    receive(agent);
    reply(Packets.accepted(open, start.sequence()));
    ByteBuffer request = receive(balancer);
    while (Packets.isOpening(request)) {
      request = receive(balancer);
    }
    agent.send(request.duplicate(), app);
    receive(agent);
    reply(Packets.response(request, 0, "").put(0, (byte) RESET));
    awaitBreach(Rule.OPEN_FLOW_RESET);
  }

  @Test
  void resetOfAFlowThatNoTargetHoldsIsOnlyAFailure() throws Exception {
    reply(Packets.response(firstRequest(), 0, "").put(0, (byte) RESET));
    long deadlineMs = System.currentTimeMillis() + TIMEOUT_MS;
    while (monitor.failedCount() == 0 && System.currentTimeMillis() < deadlineMs) {
      Thread.sleep(5);
    }
    assertThat(monitor.failedCount()).isEqualTo(1);
    assertThat(monitor.breaches()).isEmpty();
  }
}
