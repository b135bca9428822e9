package io.moorstage.lab.monitor;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.lab.edge.Ipv4;
import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.process.Ports;
import io.moorstage.lab.targets.TargetStart;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Breaks each rule that a target judges, and shows that the monitor tells of it. */
class WatchedTargetTest {
  private static final String ADDRESS = "127.80.2.1";
  private static final Packets.End CLIENT = new Packets.End(Ipv4.number("127.80.9.1"), 2_000);
  private static final Packets.End ROUTE = new Packets.End(Ipv4.number("198.18.0.1"), 443);
  private static final int FIRST_DATA = Packets.CLIENT_SEQUENCE + 1;
  private static final long LONG_AGO_MS = RuleMonitor.IN_FORCE_WITHIN_MS + 10_000L;
  private static final int ANSWER_WAIT_MS = 10_000;

  private final RuleMonitor monitor = new RuleMonitor();
  private String routeService = "tables";
  private long droppedSinceMs = Long.MAX_VALUE;
  private WatchedTarget target;
  private DatagramChannel agent;

  private final RouteRules routes =
      new RouteRules() {
        @Override
        public boolean mayTake(int routeAddress, String service) {
          return service.equals(routeService);
        }

        @Override
        public long droppedSinceMs(int routeAddress, String service) {
          return droppedSinceMs;
        }
      };

  @BeforeEach
  void start() throws IOException {
    TargetStart start = TargetStart.of("t", "tables", ADDRESS, "z", 1);
    target = new WatchedTarget(start, monitor, routes);
    agent = DatagramChannel.open().bind(new InetSocketAddress(ADDRESS, Ports.EGRESS));
    agent.socket().setSoTimeout(ANSWER_WAIT_MS);
  }

  @AfterEach
  void stop() throws IOException {
    agent.close();
    target.close();
  }

  private void write(ByteBuffer packet) throws IOException {
    monitor.wrote(Packets.immutableContent(packet));
    deliver(packet);
  }

  /** Delivers a packet and waits until the target has answered it. */
  private void deliver(ByteBuffer packet) throws IOException {
    agent.send(packet.duplicate(), new InetSocketAddress(ADDRESS, Ports.APP));
    byte[] bytes = new byte[Packets.BUFFER_BYTES];
    agent.socket().receive(new java.net.DatagramPacket(bytes, bytes.length));
  }

  private ByteBuffer request(int sequence, long number) {
    int acknowledged = target.start().sequence() + 1;
    return Packets.data(CLIENT, ROUTE, sequence, acknowledged, String.format("%10d", number));
  }

  private void openFlow() throws IOException {
    write(Packets.open(CLIENT, ROUTE, 0));
    write(request(FIRST_DATA, 1));
  }

  private void assertBroken(Rule rule) {
    List<String> breaches = monitor.breaches();
    assertThat(breaches).hasSize(1);
    assertThat(breaches.get(0)).contains(" " + rule + ": ");
  }

  @Test
  void flowThatIsServedBreaksNothing() throws IOException {
    openFlow();
    write(request(FIRST_DATA, 1));
    assertThat(monitor.breaches()).isEmpty();
    assertThat(target.runCount()).isEqualTo(1);
  }

  @Test
  void packetThatNobodyHasWrittenIsTold() throws IOException {
    openFlow();
    deliver(request(FIRST_DATA + 10, 2));
    assertBroken(Rule.CHANGED_PACKET);
  }

  @Test
  void fieldsThatTheSystemMayUseAreNoChange() throws IOException {
    ByteBuffer open = Packets.open(CLIENT, ROUTE, 0);
    monitor.wrote(Packets.immutableContent(open));
    deliver(Packets.returned(open).putInt(6, 77));
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void flowOfAnotherServiceIsTold() throws IOException {
    routeService = "bundles";
    openFlow();
    assertBroken(Rule.WRONG_SERVICE);
  }

  @Test
  void requestThatRunsAgainIsTold() throws IOException {
    openFlow();
    write(request(FIRST_DATA + 10, 1));
    assertBroken(Rule.RAN_TWICE);
  }

  @Test
  void flowThatOpensLongAfterTheTargetBeganToLeaveIsTold() throws IOException {
    target.takesNoneSince(System.currentTimeMillis() - LONG_AGO_MS);
    openFlow();
    assertBroken(Rule.LATE_OPENING);
    assertThat(target.lateOpeningCount()).isEqualTo(1);
  }

  @Test
  void flowThatOpensSoonAfterATroubleIsForgiven() throws IOException {
    target.takesNoneSince(System.currentTimeMillis() - LONG_AGO_MS);
    monitor.trouble(System.currentTimeMillis());
    openFlow();
    assertThat(monitor.breaches()).isEmpty();
  }

  @Test
  void flowOfARouteThatWasDroppedLongAgoIsTold() throws IOException {
    droppedSinceMs = System.currentTimeMillis() - LONG_AGO_MS;
    openFlow();
    assertBroken(Rule.OLD_CONFIGURATION);
  }
}
