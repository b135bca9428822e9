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
  private static final long REVISION = 40;

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
      boolean responded =
          node.getValue().mustRead(REVISION, nowMs) && !refused.contains(node.getKey());
      confirmationAges.put(node.getKey(), responded ? 40 : NOT_CONFIRMED);
    }
    nowMs += BEACON_MS;
    List<Integer> responded = new ArrayList<>();
    for (Map.Entry<Integer, Integer> age : confirmationAges.entrySet()) {
      nodes.forEach(
          (address, node) ->
              node.recordBeacon(age.getKey(), ZONE, age.getValue(), REVISION, REVISION, nowMs));
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
      node.recordBeacon(FIRST_ADDRESS + number, "ariana", 0, REVISION, REVISION, nowMs);
    }
    assertThat(node.mustRead(REVISION, nowMs)).isTrue();
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
      assertThat(node.mustRead(REVISION, nowMs)).isTrue();
    }
    assertThat(settledReaders(List.of())).hasSize(1);
  }

  @Test
  void standbyReadsOnceTheReadersConfirmationExpiresThoughItsBeaconsArrive() {
    start(2);
    int reader = settledReaders(List.of()).get(0);
    int standby = reader == FIRST_ADDRESS ? FIRST_ADDRESS + 1 : FIRST_ADDRESS;
    SourceReaders node = nodes.get(standby);
    node.recordBeacon(reader, ZONE, 2_000, REVISION, REVISION, nowMs);
    assertThat(node.mustRead(REVISION, nowMs)).isFalse();
    nowMs += BEACON_MS;
    node.recordBeacon(
        reader, ZONE, SourceReaders.MAX_CONFIRMATION_AGE_MS + 1, REVISION, REVISION, nowMs);
    assertThat(node.mustRead(REVISION, nowMs)).isTrue();
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
        int ageMs = (int) ((nowMs - startedAtMs) % callMs);
        node.recordBeacon(reader, ZONE, ageMs, REVISION, REVISION, nowMs);
      }
      assertThat(node.mustRead(REVISION, nowMs)).isFalse();
    }
  }

  // ---- changes that are not received from the reader ----

  private static int maxLagMs() {
    return BEACON_MS + SourceReaders.MAX_LAG_MS + BEACON_MS;
  }

  /** The beacons of a reader of a higher rank than this node, whose changes it may not receive. */
  private final class ReaderAndStandby {
    private final int reader;
    private final SourceReaders standby;
    private long readerRevision = REVISION;
    private long standbyRevision = REVISION;

    private ReaderAndStandby() {
      start(2);
      reader = settledReaders(List.of()).get(0);
      standby = nodes.get(reader == FIRST_ADDRESS ? FIRST_ADDRESS + 1 : FIRST_ADDRESS);
    }

    /** Passes time with beacons; returns whether the standby reads at its end. */
    private boolean readsAfter(int periodMs) {
      long endMs = nowMs + periodMs;
      boolean reads = false;
      for (int passedMs = 0; nowMs < endMs; passedMs += 100) {
        if (passedMs % BEACON_MS == 0) {
          standby.recordBeacon(reader, ZONE, 40, readerRevision, standbyRevision, nowMs);
        }
        reads = standby.mustRead(standbyRevision, nowMs);
        nowMs += 100;
      }
      return reads;
    }
  }

  // Guards against a balancer that serves a dropped route for good: the reader of its zone could
  // send it no state, and the standby took the reader's confirmation for its own progress.
  @Test
  void standbyReadsWhenItDoesNotReceiveTheChangesThatTheReaderAdvertises() {
    ReaderAndStandby pair = new ReaderAndStandby();
    pair.readerRevision++;
    assertThat(pair.readsAfter(SourceReaders.MIN_LAG_MS)).isFalse();
    assertThat(pair.readsAfter(maxLagMs() - SourceReaders.MIN_LAG_MS)).isTrue();
  }

  @Test
  void standbyReadsAlsoWhileTheReaderAdvertisesFurtherChanges() {
    ReaderAndStandby pair = new ReaderAndStandby();
    boolean reads = false;
    for (int passedMs = 0; passedMs < maxLagMs(); passedMs += BEACON_MS) {
      pair.readerRevision++;
      reads = pair.readsAfter(BEACON_MS);
    }
    assertThat(reads).isTrue();
  }

  @Test
  void standbyThatReceivesEachChangeLateDoesNotRead() {
    ReaderAndStandby pair = new ReaderAndStandby();
    for (int i = 0; i < 40; i++) {
      long received = pair.readerRevision;
      pair.readerRevision++;
      assertThat(pair.readsAfter(BEACON_MS)).isFalse();
      pair.standbyRevision = received;
    }
  }

  // Guards against a further delay of each change while the reader's state cannot be received.
  @Test
  void standbyReadsForSomeTimeAfterItHasReachedTheRevisionOfTheReader() {
    ReaderAndStandby pair = new ReaderAndStandby();
    pair.readerRevision++;
    assertThat(pair.readsAfter(maxLagMs())).isTrue();
    pair.standbyRevision = pair.readerRevision;
    assertThat(pair.readsAfter(SourceReaders.DISTRUST_MS / 2)).isTrue();
    assertThat(pair.readsAfter(SourceReaders.DISTRUST_MS)).isFalse();
  }

  @Test
  void balancersOfHigherRankWaitLessForAReadersChanges() {
    start(BALANCERS + 1);
    int reader = settledReaders(List.of()).get(0);
    nodes.forEach((address, node) -> node.recordBeacon(reader, ZONE, 0, 41, REVISION, nowMs));
    int atOnce = 0;
    int before = 0;
    for (int passedMs = 0; passedMs <= SourceReaders.MAX_LAG_MS; passedMs += 10) {
      int reading = 0;
      for (SourceReaders node : nodes.values()) {
        reading += node.mustRead(REVISION, nowMs + passedMs) ? 1 : 0;
      }
      atOnce = Math.max(atOnce, reading - before);
      before = reading;
    }
    assertThat(before).isGreaterThan(1);
    assertThat(atOnce).isLessThan(BALANCERS / 2);
  }
}
