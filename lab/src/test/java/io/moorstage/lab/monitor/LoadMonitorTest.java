package io.moorstage.lab.monitor;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.lab.client.ClientFlow;
import io.moorstage.lab.client.FlowPlan;
import io.moorstage.lab.edge.Ipv4;
import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.process.Ports;
import io.moorstage.lab.targets.TargetStart;
import io.moorstage.lab.targets.TargetWork;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Breaks each rule of a fleet under load, and checks that the monitor records the breach, and that
 * it does not where the rule has an exception. A rule that is not recorded would let a soak pass
 * although the fleet is at fault.
 */
class LoadMonitorTest {
  private static final String ADDRESS = "127.80.2.5";
  private static final int URGENT_ROUTE = Ipv4.number("198.18.0.1");
  private static final int NORMAL_ROUTE = Ipv4.number("198.18.0.2");
  private static final int OBJECTIVE_MS = 400;
  private static final int FIRST_DATA = Packets.CLIENT_SEQUENCE + 1;
  private static final int PORT = 2_000;
  private static final int RESPONSE_TIMEOUT_MS = 10_000;
  private static final int LONG_WORK_MS = 2_000;

  private final RuleMonitor monitor = new RuleMonitor();
  private final TargetStart start = TargetStart.of("t", "tables", ADDRESS, "z", 1);
  private final LoadMonitor load =
      new LoadMonitor(monitor, LoadMonitorTest::kindOf, () -> List.of(this.target));
  private WatchedTarget target;
  private DatagramChannel agent;

  private static Optional<RequestKind> kindOf(int address) {
    int priority = address == URGENT_ROUTE ? 1 : 2;
    return Optional.of(new RequestKind("tables", priority, OBJECTIVE_MS));
  }

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
      };

  @BeforeEach
  void start() throws IOException {
    TargetWork work = new TargetWork(1, 1, LONG_WORK_MS);
    target = new WatchedTarget(start, monitor, routes, work, load);
    target.setNewFlowsSince(0);
    agent = DatagramChannel.open().bind(new InetSocketAddress(ADDRESS, Ports.EGRESS));
    agent.socket().setSoTimeout(RESPONSE_TIMEOUT_MS);
  }

  @AfterEach
  void stop() throws IOException {
    agent.close();
    target.close();
  }

  private static ClientFlow flow(int route, int port) {
    long nowMs = System.currentTimeMillis();
    Packets.End service = new Packets.End(route, 443);
    return new ClientFlow(port, new FlowPlan(service, 1, 0, nowMs, 1), System.nanoTime());
  }

  private void deliver(ByteBuffer packet) throws IOException {
    monitor.recordSentPacket(Packets.immutableContent(packet));
    agent.send(packet.duplicate(), new InetSocketAddress(ADDRESS, Ports.APP));
  }

  private ByteBuffer response() throws IOException {
    byte[] bytes = new byte[Packets.BUFFER_BYTES];
    DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
    agent.socket().receive(packet);
    return ByteBuffer.wrap(bytes, 0, packet.getLength());
  }

  private static Packets.End client(int port) {
    return new Packets.End(Ipv4.number("127.80.9.1"), port);
  }

  private static Packets.End route() {
    return new Packets.End(NORMAL_ROUTE, 443);
  }

  private ByteBuffer openAt(int port) throws IOException {
    deliver(Packets.open(client(port), route(), 0));
    return response();
  }

  /** Sends the request of a flow, whose number is the port. */
  private void request(int port) throws IOException {
    String text = String.format("%10d", port);
    deliver(Packets.data(client(port), route(), FIRST_DATA, start.sequence() + 1, text));
  }

  private void awaitRuns(int count) throws InterruptedException {
    long deadlineMs = System.currentTimeMillis() + RESPONSE_TIMEOUT_MS;
    while (target.runCount() < count && System.currentTimeMillis() < deadlineMs) {
      Thread.sleep(5);
    }
    assertThat(target.runCount()).isEqualTo(count);
  }

  private void assertOneBreach(Rule rule) {
    List<String> breaches = monitor.breaches();
    assertThat(breaches).hasSize(1);
    assertThat(breaches.get(0)).contains(" " + rule + ": ");
  }

  /** Ends requests of priority 2 in time, and one of priority 1 late, all in one second. */
  private void endRequests() {
    ClientFlow urgent = flow(URGENT_ROUTE, PORT);
    for (int i = 0; i < LoadMonitor.MIN_REQUESTS; i++) {
      load.recordEnd(flow(NORMAL_ROUTE, PORT), true, System.currentTimeMillis());
    }
    load.recordEnd(urgent, true, urgent.attemptedMs() + OBJECTIVE_MS + 1);
    load.checkAll();
  }

  // All flows of the test must begin within one second, by which the rule groups requests.
  private static void awaitStartOfSecond() throws InterruptedException {
    Thread.sleep(1_000 - System.currentTimeMillis() % 1_000);
  }

  @Test
  void urgentRequestThatIsLateWhileOthersAreInTimeIsRecorded() throws Exception {
    awaitStartOfSecond();
    endRequests();
    assertOneBreach(Rule.URGENT_WAITED);
  }

  @Test
  void urgentRequestThatIsLateSoonAfterAFaultIsAllowed() throws Exception {
    awaitStartOfSecond();
    monitor.recordFault(System.currentTimeMillis());
    endRequests();
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void urgentRequestThatIsLateAsAllOthersAreIsAllowed() throws Exception {
    awaitStartOfSecond();
    for (int i = 0; i < LoadMonitor.MIN_REQUESTS; i++) {
      load.recordEnd(flow(NORMAL_ROUTE, PORT), false, System.currentTimeMillis());
    }
    endRequests();
    assertThat(monitor.breaches()).isEmpty();
  }

  /** Rejects openings of which some are late, at a target that has a request. */
  private void reject(int late) throws Exception {
    openAt(PORT);
    request(PORT);
    awaitRuns(1);
    for (int i = 1; i <= LoadMonitor.MIN_REJECTIONS; i++) {
      ClientFlow flow = flow(NORMAL_ROUTE, PORT + i);
      int afterMs = OBJECTIVE_MS / 4 + (i <= late ? 1 : 0);
      load.recordRejection(flow, flow.openedMs() + afterMs);
    }
    load.checkAll();
  }

  @Test
  void lateRejectionsAreRecorded() throws Exception {
    reject(2);
    assertOneBreach(Rule.LATE_REJECTION);
  }

  @Test
  void lateRejectionsWithinTheFractionAreAllowed() throws Exception {
    reject(1);
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void runOfARejectedOpeningIsRecorded() throws Exception {
    monitor.recordFault(System.currentTimeMillis());
    load.recordRejection(flow(NORMAL_ROUTE, PORT), System.currentTimeMillis());
    openAt(PORT);
    request(PORT);
    awaitRuns(1);
    assertOneBreach(Rule.FALSE_REJECTION);
  }

  @Test
  void acceptanceOfARejectedOpeningIsRecorded() {
    target.setNoNewFlowsSince(System.currentTimeMillis());
    load.recordRejection(flow(NORMAL_ROUTE, PORT), System.currentTimeMillis());
    load.recordLateAcceptance(PORT, System.currentTimeMillis());
    assertOneBreach(Rule.FALSE_REJECTION);
  }

  @Test
  void newFlowOfTheSamePortIsNotTheRejectedOne() {
    target.setNoNewFlowsSince(System.currentTimeMillis());
    load.recordRejection(flow(NORMAL_ROUTE, PORT), System.currentTimeMillis());
    load.recordOpening(flow(NORMAL_ROUTE, PORT));
    load.recordLateAcceptance(PORT, System.currentTimeMillis());
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void targetThatStaysIdleDuringRejectionsIsRecordedOnce() {
    long nowMs = System.currentTimeMillis() + LoadMonitor.IDLE_LIMIT_MS + 1;
    load.recordRejection(flow(NORMAL_ROUTE, PORT), nowMs);
    load.recordRejection(flow(NORMAL_ROUTE, PORT + 1), nowMs);
    assertOneBreach(Rule.IDLE_TARGET);
  }

  @Test
  void targetThatMustNotGetNewFlowsMayBeIdle() {
    target.setNoNewFlowsSince(System.currentTimeMillis());
    long nowMs = System.currentTimeMillis() + LoadMonitor.IDLE_LIMIT_MS + 1;
    load.recordRejection(flow(NORMAL_ROUTE, PORT), nowMs);
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void fullTargetReturnsOpeningsAndRejectsRequests() throws Exception {
    int last = PORT + 2;
    for (int port = PORT; port <= last; port++) {
      assertThat(Packets.isAccepted(openAt(port))).isTrue();
    }
    for (int port = PORT; port <= last; port++) {
      request(port);
    }
    assertThat(Packets.text(response())).isEqualTo(last + " t not-run");
    ByteBuffer returned = openAt(last + 1);
    assertThat(Packets.isOpening(returned)).isTrue();
    assertThat(target.runCount()).isEqualTo(1);
    assertThat(monitor.breaches()).isEmpty();
  }
}
