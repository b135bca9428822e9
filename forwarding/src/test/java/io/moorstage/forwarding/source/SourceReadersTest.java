package io.moorstage.forwarding.source;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SourceReadersTest {
  private static final String ZONE = "lac";
  private static final int BALANCERS = 6;
  private static final int FIRST_ADDRESS = 0x0A01000A;
  private static final int BEACON_MS = 500;
  private static final int NOT_CONFIRMED = -1;

  private final Map<Integer, SourceReaders> nodes = new HashMap<>();
  private long nowMs = 10_000;

  private void start(int count) {
    for (int number = 0; number < count; number++) {
      int address = FIRST_ADDRESS + number;
      nodes.put(address, new SourceReaders(address, ZONE));
    }
  }

  /**
   * Lets each node send a beacon to all others; returns the readers that the source responds to,
   * which are those that it does not refuse.
   */
  private List<Integer> exchangeBeacons(List<Integer> refused) {
    Map<Integer, Integer> confirmationAges = new HashMap<>();
    for (Map.Entry<Integer, SourceReaders> node : nodes.entrySet()) {
      boolean responded = node.getValue().mustRead(nowMs) && !refused.contains(node.getKey());
      confirmationAges.put(node.getKey(), responded ? 40 : NOT_CONFIRMED);
    }
    nowMs += BEACON_MS;
    List<Integer> responded = new ArrayList<>();
    for (Map.Entry<Integer, Integer> age : confirmationAges.entrySet()) {
      nodes.forEach(
          (address, node) -> node.recordBeacon(age.getKey(), ZONE, age.getValue(), nowMs));
      if (age.getValue() != NOT_CONFIRMED) {
        responded.add(age.getKey());
      }
    }
    return responded;
  }

  private List<Integer> settledReaders(List<Integer> refused) {
    List<Integer> responded = List.of();
    for (int round = 0; round < 8; round++) {
      responded = exchangeBeacons(refused);
    }
    return responded;
  }

  @Test
  void oneBalancerOfAZoneReadsWithoutFailures() {
    start(BALANCERS);
    assertThat(settledReaders(List.of())).hasSize(1);
  }

  @Test
  void nodeWithoutPeersReads() {
    start(1);
    assertThat(settledReaders(List.of())).hasSize(1);
  }

  @Test
  void balancersOfOtherZonesDoNotCount() {
    SourceReaders node = new SourceReaders(FIRST_ADDRESS, ZONE);
    for (int number = 1; number < BALANCERS; number++) {
      node.recordBeacon(FIRST_ADDRESS + number, "ariana", 0, nowMs);
    }
    assertThat(node.mustRead(nowMs)).isTrue();
  }

  @Test
  void someBalancerGetsResponsesWhicheverMachinesTheSourceRefuses() {
    start(BALANCERS);
    for (int subset = 0; subset < (1 << BALANCERS) - 1; subset++) {
      List<Integer> refused = new ArrayList<>();
      for (int number = 0; number < BALANCERS; number++) {
        if ((subset & 1 << number) != 0) {
          refused.add(FIRST_ADDRESS + number);
        }
      }
      assertThat(settledReaders(refused)).isNotEmpty();
    }
  }

  @Test
  void anotherBalancerReadsAfterTheReaderTimesOut() {
    start(BALANCERS);
    int reader = settledReaders(List.of()).get(0);
    nodes.remove(reader);
    nowMs += 1_400;
    for (SourceReaders node : nodes.values()) {
      assertThat(node.mustRead(nowMs)).isTrue();
    }
    assertThat(settledReaders(List.of())).hasSize(1);
  }

  @Test
  void standbyReadsOnceTheReadersConfirmationExpiresThoughItsBeaconsArrive() {
    start(2);
    int reader = settledReaders(List.of()).get(0);
    int standby = reader == FIRST_ADDRESS ? FIRST_ADDRESS + 1 : FIRST_ADDRESS;
    SourceReaders node = nodes.get(standby);
    node.recordBeacon(reader, ZONE, 2_000, nowMs);
    assertThat(node.mustRead(nowMs)).isFalse();
    nowMs += BEACON_MS;
    node.recordBeacon(reader, ZONE, SourceReaders.MAX_CONFIRMATION_AGE_MS + 1, nowMs);
    assertThat(node.mustRead(nowMs)).isTrue();
  }

  // Guards against a standby that reads the source although the reader gets responses. The reader's
  // beacons are sent at any time during its calls, each of which takes its longest time.
  @Test
  void standbyDoesNotReadWhileTheReadersCallsTakeAsLongAsTheyMay() {
    start(2);
    int reader = settledReaders(List.of()).get(0);
    int standby = reader == FIRST_ADDRESS ? FIRST_ADDRESS + 1 : FIRST_ADDRESS;
    SourceReaders node = nodes.get(standby);
    int callMs = SourceFollower.WAIT_MS + CallPacer.INTERVAL_MS;
    long startedAtMs = nowMs;
    for (; nowMs < startedAtMs + 40 * callMs; nowMs += 10) {
      if ((nowMs - startedAtMs) % BEACON_MS == 0) {
        node.recordBeacon(reader, ZONE, (int) ((nowMs - startedAtMs) % callMs), nowMs);
      }
      assertThat(node.mustRead(nowMs)).isFalse();
    }
  }
}
