package io.moorstage.lab.process;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.edge.StoreJson;
import io.moorstage.lab.edge.StoreKeys;
import io.moorstage.lab.store.StandInStore;
import io.moorstage.lab.store.StoreMode;
import io.moorstage.lab.targets.StandInTarget;
import io.moorstage.lab.targets.TargetStart;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs balancers and agents as real processes on loopback addresses, with a client, two targets and
 * a store that are implemented from the platform's documentation.
 */
class RealProcessesTest {
  private static final String STORE = "127.77.8.1";
  private static final String BALANCER_A = "127.77.1.1";
  private static final String BALANCER_B = "127.77.1.2";
  private static final String SIDE_A = "127.77.2.1";
  private static final String SIDE_B = "127.77.2.2";
  private static final int TARGET_SEQUENCE = 1_000;

  @TempDir Path folder;
  private Programs programs;
  private StandInStore store;
  private OpeningCount openedAtA;
  private StandInTarget targetA;
  private StandInTarget targetB;
  private TestClient client;

  @BeforeEach
  void start() throws Exception {
    LaunchCommand command = LaunchCommand.ofOwnClasses();
    programs = new Programs(command, folder, STORE, List.of(BALANCER_A, BALANCER_B));
    store = new StandInStore(new InetSocketAddress(STORE, Ports.STORE));
    store.setMode(StoreMode.REPLAYING);
    store.putAt(StoreKeys.CONFIGURATION, TestEntries.configuration(), 3);
    store.putAt(StoreKeys.target("a"), TestEntries.target(SIDE_A, false), 4);
    openedAtA = new OpeningCount();
    targetA = new StandInTarget(targetStart("a", SIDE_A), openedAtA);
    targetB = new StandInTarget(targetStart("b", SIDE_B), new OpeningCount());
    client = new TestClient(TARGET_SEQUENCE);
  }

  @AfterEach
  void stop() throws Exception {
    programs.close();
    client.close();
    targetA.close();
    targetB.close();
    store.close();
  }

  private static TargetStart targetStart(String id, String address) {
    return new TargetStart(id, "tables", address, "z", 5, TARGET_SEQUENCE);
  }

  private Process startBalancer(String address) throws Exception {
    Process process = programs.startBalancer(address, "z");
    Programs.awaitReady(address);
    return process;
  }

  private Process startAgent(String address) throws Exception {
    Process process = programs.startAgent(address, "z", "tables");
    Programs.awaitReady(address);
    return process;
  }

  private void assertServed(ByteBuffer packet) {
    assertThat(Packets.isReset(packet)).isFalse();
    assertThat(Packets.text(packet)).isEqualTo("answer");
  }

  @Test
  void flowContinuesThroughABalancerThatNeverSawIt() throws Exception {
    startAgent(SIDE_A);
    startBalancer(BALANCER_A);
    startBalancer(BALANCER_B);

    assertThat(Packets.isAccepted(client.open(BALANCER_A, 4_001))).isTrue();
    assertServed(client.request(BALANCER_A, 4_001, 501));
    assertServed(client.request(BALANCER_B, 4_001, 508));
    assertThat(openedAtA.get()).isEqualTo(1);
  }

  @Test
  void flowSurvivesTheRestartOfEveryBalancer() throws Exception {
    startAgent(SIDE_A);
    Process balancer = startBalancer(BALANCER_A);
    client.open(BALANCER_A, 4_002);
    assertServed(client.request(BALANCER_A, 4_002, 501));

    balancer.destroy();
    assertThat(balancer.waitFor()).isEqualTo(0);
    startBalancer(BALANCER_A);
    assertServed(client.request(BALANCER_A, 4_002, 508));
  }

  @Test
  void flowSurvivesTheLossOfItsBalancerAndItsAgent() throws Exception {
    Process agent = startAgent(SIDE_A);
    Process balancer = startBalancer(BALANCER_A);
    client.open(BALANCER_A, 4_003);
    assertServed(client.request(BALANCER_A, 4_003, 501));

    balancer.destroyForcibly().waitFor();
    agent.destroyForcibly().waitFor();
    startAgent(SIDE_A);
    startBalancer(BALANCER_A);
    assertServed(client.request(BALANCER_A, 4_003, 508));
  }

  @Test
  void drainingTargetKeepsItsFlowAndGetsNoNewOne() throws Exception {
    startAgent(SIDE_A);
    startAgent(SIDE_B);
    startBalancer(BALANCER_A);
    client.open(BALANCER_A, 4_004);
    assertServed(client.request(BALANCER_A, 4_004, 501));

    store.putAt(StoreKeys.target("b"), TestEntries.target(SIDE_B, false), 11);
    store.putAt(StoreKeys.target("a"), TestEntries.target(SIDE_A, true), 12);
    Thread.sleep(1_000);
    int openedBefore = openedAtA.get();
    for (int port = 4_100; port < 4_110; port++) {
      client.open(BALANCER_A, port);
      assertServed(client.request(BALANCER_A, port, 501));
    }
    assertThat(openedAtA.get()).isEqualTo(openedBefore);
    assertServed(client.request(BALANCER_A, 4_004, 508));
  }

  // A balancer whose calls the store rejects gets the evacuation from its peer, and the agents get
  // it from either balancer.
  @Test
  void evacuatedZoneGetsNoNewFlowThroughAnyBalancerUntilTheEvacuationIsLifted() throws Exception {
    store.putAt(StoreKeys.target("b"), TestEntries.target(SIDE_B, "other", false), 5);
    startAgent(SIDE_A);
    startAgent(SIDE_B);
    startBalancer(BALANCER_A);
    startBalancer(BALANCER_B);
    openAndRequest(BALANCER_A, 4_020);
    openAndRequest(BALANCER_B, 4_021);
    assertThat(openedAtA.get()).isEqualTo(2);
    store.putAt(StoreKeys.evacuation("z"), StoreJson.empty(), 11);
    Thread.sleep(1_500);
    store.setMode(StoreMode.BUSY);
    for (int port = 4_300; port < 4_310; port++) {
      openAndRequest(port % 2 == 0 ? BALANCER_A : BALANCER_B, port);
    }
    assertThat(openedAtA.get()).isEqualTo(2);
    assertServed(client.request(BALANCER_B, 4_020, 508));
    store.setMode(StoreMode.REPLAYING);
    store.remove(StoreKeys.evacuation("z"));
    Thread.sleep(2_500);
    for (int port = 4_310; port < 4_320; port++) {
      openAndRequest(port % 2 == 0 ? BALANCER_A : BALANCER_B, port);
    }
    assertThat(openedAtA.get()).isGreaterThan(2);
  }

  private void openAndRequest(String balancer, int port) throws Exception {
    assertThat(Packets.isAccepted(client.open(balancer, port))).isTrue();
    assertServed(client.request(balancer, port, 501));
  }

  // The agent's process exited before it had announced the end of its target, and each search for a
  // lost flow then waited for that agent's response.
  @Test
  void lostFlowIsResetWithoutWaitingForAnAgentThatHasStoppedAfterItsTarget() throws Exception {
    store.putAt(StoreKeys.target("b"), TestEntries.target(SIDE_B, false), 5);
    startAgent(SIDE_A);
    Process agentB = startAgent(SIDE_B);
    startBalancer(BALANCER_A);
    client.open(BALANCER_A, 4_030);
    Thread.sleep(1_500);
    targetB.close();
    agentB.destroy();
    assertThat(agentB.waitFor()).isEqualTo(0);

    ByteBuffer response = client.request(BALANCER_A, 4_031, 501);
    assertThat(Packets.isReset(response)).isTrue();
    assertThat(programs.log("agent", SIDE_B)).contains("event=target-ended");
    assertThat(programs.log("balancer", BALANCER_A)).doesNotContain("event=not-found");
  }

  // A service permanently lost all its targets once the store's entries of their killed
  // predecessors, which had the same addresses, had expired.
  @Test
  void targetIsUsedAfterTheEntryOfItsPredecessorAtTheSameAddressHasExpired() throws Exception {
    startAgent(SIDE_A);
    startBalancer(BALANCER_A);
    client.open(BALANCER_A, 4_011);

    store.putAt(StoreKeys.target("a-next"), TestEntries.target(SIDE_A, false), 11);
    Thread.sleep(500);
    store.remove(StoreKeys.target("a"));
    Thread.sleep(1_000);
    assertThat(Packets.isAccepted(client.open(BALANCER_A, 4_012))).isTrue();
    assertServed(client.request(BALANCER_A, 4_012, 501));
  }

  @Test
  void changeAtARevisionThatIsAlreadyKnownIsApplied() throws Exception {
    startAgent(SIDE_A);
    startAgent(SIDE_B);
    startBalancer(BALANCER_A);
    client.open(BALANCER_A, 4_008);
    assertServed(client.request(BALANCER_A, 4_008, 501));
    store.advanceRevision(12);
    Thread.sleep(500);
    store.putAt(StoreKeys.target("b"), TestEntries.target(SIDE_B, false), 11);
    store.putAt(StoreKeys.target("a"), TestEntries.target(SIDE_A, true), 12);
    Thread.sleep(1_000);
    int openedBefore = openedAtA.get();
    for (int port = 4_200; port < 4_210; port++) {
      client.open(BALANCER_A, port);
      assertServed(client.request(BALANCER_A, port, 501));
    }
    assertThat(openedAtA.get()).isEqualTo(openedBefore);
  }

  @Test
  void balancerThatStartsWhileTheStoreRejectsItsCallsUsesAPeersState() throws Exception {
    startAgent(SIDE_A);
    startBalancer(BALANCER_A);
    client.open(BALANCER_A, 4_005);
    store.setMode(StoreMode.BUSY);
    startBalancer(BALANCER_B);
    assertServed(client.request(BALANCER_B, 4_005, 501));
    assertThat(Packets.isAccepted(client.open(BALANCER_B, 4_006))).isTrue();
  }

  @Test
  void invalidInputIsCountedAndDoesNotDisruptService() throws Exception {
    store.putAt(StoreKeys.target("absurd"), StoreJson.unusableTarget("tables"), 5);
    startAgent(SIDE_A);
    startBalancer(BALANCER_A);
    client.send(BALANCER_A, ByteBuffer.wrap(new byte[] {1, 2, 3}));
    client.sendTo(new InetSocketAddress(BALANCER_A, Ports.PEER), new byte[] {9, 9});
    assertThat(Packets.isAccepted(client.open(BALANCER_A, 4_009))).isTrue();

    List<String> metrics = metrics(BALANCER_A);
    assertThat(metrics).contains("moorstage_forwarding_bad_client_datagrams_total 1");
    assertThat(metrics).contains("moorstage_forwarding_bad_peer_datagrams_total 1");
    assertThat(metrics(SIDE_A)).contains("moorstage_forwarding_flows 1");
    // One of agent and balancer reads the store; the other gets the state from its peer.
    String noUnusableItems = "moorstage_forwarding_unusable_items 0";
    assertThat(metrics.contains(noUnusableItems) && metrics(SIDE_A).contains(noUnusableItems))
        .isFalse();
  }

  @Test
  void flowIsServedWhenTheMetricsPortIsInUse() throws Exception {
    java.net.InetAddress balancer = java.net.InetAddress.getByName(BALANCER_A);
    java.net.InetAddress side = java.net.InetAddress.getByName(SIDE_A);
    try (java.net.ServerSocket balancerPort =
            new java.net.ServerSocket(Ports.METRICS, 1, balancer);
        java.net.ServerSocket agentPort = new java.net.ServerSocket(Ports.METRICS, 1, side)) {
      Process agent = startAgent(SIDE_A);
      startBalancer(BALANCER_A);
      client.open(BALANCER_A, 4_010);
      assertServed(client.request(BALANCER_A, 4_010, 501));
      Thread.sleep(500);
      assertThat(balancerPort.isBound() && agentPort.isBound()).isTrue();
      assertThat(agent.isAlive()).isTrue();
    }
  }

  private static List<String> metrics(String address) throws IOException {
    URL url = new URL("http://" + address + ":" + Ports.METRICS + "/metrics");
    try (java.io.InputStream body = url.openStream()) {
      return new String(body.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    }
  }

  @Test
  void terminationExitsWithCodeZeroAndReloadKeepsServing() throws Exception {
    startAgent(SIDE_A);
    Process balancer = startBalancer(BALANCER_A);
    Programs.signal(balancer, "HUP");
    assertThat(Packets.isAccepted(client.open(BALANCER_A, 4_007))).isTrue();
    balancer.destroy();
    assertThat(balancer.waitFor()).isEqualTo(0);
  }
}
