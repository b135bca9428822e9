package io.moorstage.lab.monitor;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.lab.client.ClientFlow;
import io.moorstage.lab.client.FlowPlan;
import io.moorstage.lab.edge.Ipv4;
import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.process.Ports;
import io.moorstage.lab.targets.TargetStart;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Sends packets of an open flow to another target than its own, and checks that the monitor records
 * the breach, and that it does not where the rule has an exception. A breach that is not recorded
 * would let a soak pass although balancers send open flows to the wrong target.
 */
class MisroutedFlowTest {
  private static final String OWN_ADDRESS = "127.80.2.6";
  private static final String OTHER_ADDRESS = "127.80.2.7";
  private static final int PORT = 2_000;
  private static final Packets.End CLIENT = new Packets.End(Ipv4.number("127.80.9.1"), PORT);
  private static final Packets.End ROUTE = new Packets.End(Ipv4.number("198.18.0.1"), 443);
  private static final int FIRST_DATA = Packets.CLIENT_SEQUENCE + 1;
  private static final int RESPONSE_TIMEOUT_MS = 10_000;

  private long nowMs = 1_000_000;
  private boolean routeWasDropped;
  private final RuleMonitor monitor = new RuleMonitor(() -> nowMs);
  private final MonitoringClientListener client = new MonitoringClientListener(monitor);
  private final ClientFlow flow = new ClientFlow(PORT, new FlowPlan(ROUTE, 2), System.nanoTime());
  private WatchedTarget own;
  private WatchedTarget other;
  private DatagramChannel ownAgent;
  private DatagramChannel otherAgent;

  private final ExpectedRoutes routes =
      new ExpectedRoutes() {
        @Override
        public boolean mayReceiveFlows(int routeAddress, String service) {
          return true;
        }

        @Override
        public long removedSinceMs(int routeAddress, String service) {
          return Long.MAX_VALUE;
        }

        @Override
        public boolean wasDroppedSince(int routeAddress, long sinceMs) {
          return routeWasDropped;
        }
      };

  @BeforeEach
  void openFlow() throws IOException {
    own = new WatchedTarget(startAt("own", OWN_ADDRESS), monitor, routes);
    other = new WatchedTarget(startAt("other", OTHER_ADDRESS), monitor, routes);
    ownAgent = agentAt(OWN_ADDRESS);
    otherAgent = agentAt(OTHER_ADDRESS);
    client.onOpen(flow);
    deliver(ownAgent, OWN_ADDRESS, Packets.open(CLIENT, ROUTE, 0));
    client.onRequest(flow);
    deliverToOwn();
  }

  private static TargetStart startAt(String id, String address) {
    return TargetStart.of(id, "tables", address, "z", 1);
  }

  private static DatagramChannel agentAt(String address) throws IOException {
    DatagramChannel agent =
        DatagramChannel.open().bind(new InetSocketAddress(address, Ports.EGRESS));
    agent.socket().setSoTimeout(RESPONSE_TIMEOUT_MS);
    return agent;
  }

  @AfterEach
  void stop() throws IOException {
    ownAgent.close();
    otherAgent.close();
    own.close();
    other.close();
  }

  /** Delivers a packet and waits until the target has responded to it or returned it. */
  private void deliver(DatagramChannel agent, String address, ByteBuffer packet)
      throws IOException {
    monitor.recordSentPacket(Packets.immutableContent(packet));
    agent.send(packet, new InetSocketAddress(address, Ports.APP));
    byte[] bytes = new byte[Packets.BUFFER_BYTES];
    agent.socket().receive(new DatagramPacket(bytes, bytes.length));
  }

  private ByteBuffer request() {
    String text = String.format("%10d", 1);
    return Packets.data(CLIENT, ROUTE, FIRST_DATA, own.start().sequence() + 1, text);
  }

  private void deliverToOwn() throws IOException {
    deliver(ownAgent, OWN_ADDRESS, request());
  }

  private void deliverToOther() throws IOException {
    deliver(otherAgent, OTHER_ADDRESS, request());
  }

  private void deliverToOtherThreeTimes() throws IOException {
    deliverToOther();
    deliverToOther();
    deliverToOther();
  }

  private void reset() {
    flow.recordAcceptance(own.target());
    client.onReset(flow);
  }

  private void assertMisrouted() {
    List<String> breaches = monitor.breaches();
    assertThat(breaches).hasSize(1);
    assertThat(breaches.get(0)).contains(" MISROUTED_FLOW: flow=127.80.9.1:2000>198.18.0.1:443 ");
    assertThat(breaches.get(0)).contains("[other]");
  }

  @Test
  void flowThatReachesOnlyAnotherTargetIsRecorded() throws IOException {
    deliverToOther();
    deliverToOther();
    nowMs += MisrouteDetector.WINDOW_MS;
    deliverToOther();
    assertMisrouted();
  }

  @Test
  void flowThatIsFoundTooLateIsRecorded() throws IOException {
    deliverToOtherThreeTimes();
    nowMs += MisrouteDetector.WINDOW_MS;
    deliverToOwn();
    assertMisrouted();
  }

  @Test
  void flowThatIsNotFoundUntilItsEndIsRecorded() throws IOException {
    deliverToOtherThreeTimes();
    nowMs += MisrouteDetector.WINDOW_MS;
    client.onEnd(flow);
    assertMisrouted();
  }

  @Test
  void lateCopiesOfTheOpeningCount() throws IOException {
    deliver(otherAgent, OTHER_ADDRESS, Packets.open(CLIENT, ROUTE, 1));
    deliver(otherAgent, OTHER_ADDRESS, Packets.open(CLIENT, ROUTE, 2));
    nowMs += MisrouteDetector.WINDOW_MS;
    deliverToOther();
    assertMisrouted();
    assertThat(monitor.breaches().get(0)).contains("3 packets (2 openings)");
  }

  @Test
  void flowThatIsFoundAgainInTimeIsAllowed() throws IOException {
    for (int i = 0; i < 3; i++) {
      deliverToOtherThreeTimes();
      nowMs += MisrouteDetector.WINDOW_MS - 1;
      deliverToOwn();
    }
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void twoPacketsAtAnotherTargetAreAllowed() throws IOException {
    deliverToOther();
    deliverToOther();
    nowMs += MisrouteDetector.WINDOW_MS;
    deliverToOwn();
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void packetsBeforeARestAreAllowed() throws IOException {
    deliverToOtherThreeTimes();
    nowMs += MisrouteDetector.WINDOW_MS;
    client.onRequest(flow);
    deliverToOwn();
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void flowOfAnEndedTargetIsNotJudged() throws IOException {
    own.close();
    deliverToOtherThreeTimes();
    nowMs += MisrouteDetector.WINDOW_MS;
    deliverToOther();
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void flowOfAMachineWithAFaultIsNotJudged() throws IOException {
    monitor.recordMachineFault(OWN_ADDRESS, nowMs - RuleMonitor.PROPAGATION_LIMIT_MS);
    deliverToOtherThreeTimes();
    nowMs += MisrouteDetector.WINDOW_MS;
    deliverToOther();
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void faultOfAnotherMachineIsNoExcuse() throws IOException {
    monitor.recordMachineFault(OTHER_ADDRESS, nowMs);
    deliverToOtherThreeTimes();
    nowMs += MisrouteDetector.WINDOW_MS;
    deliverToOther();
    assertMisrouted();
  }

  @Test
  void flowThatItsClientHasEndedIsNotJudged() throws IOException {
    client.onEnd(flow);
    deliverToOtherThreeTimes();
    nowMs += MisrouteDetector.WINDOW_MS;
    deliverToOther();
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void flowOfADroppedRouteIsNotJudged() throws IOException {
    routeWasDropped = true;
    deliverToOtherThreeTimes();
    nowMs += MisrouteDetector.WINDOW_MS;
    deliverToOther();
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void resetOfAFlowOfADroppedRouteIsAllowed() {
    routeWasDropped = true;
    reset();
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void resetOfAFlowOfAPresentRouteIsRecorded() {
    reset();
    assertThat(monitor.breaches()).hasSize(1);
    assertThat(monitor.breaches().get(0)).contains(" OPEN_FLOW_RESET: ");
  }

  @Test
  void oldFlowIsNotJudged() throws IOException {
    nowMs += MisrouteDetector.MAX_FLOW_MS;
    deliverToOtherThreeTimes();
    nowMs += MisrouteDetector.WINDOW_MS;
    deliverToOther();
    assertThat(monitor.breaches()).isEmpty();
  }
}
