package io.moorstage.lab.process;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.forwarding.source.SourceFollower;
import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.edge.StoreKeys;
import io.moorstage.lab.store.StandInStore;
import io.moorstage.lab.store.StoreCopy;
import io.moorstage.lab.store.StoreMode;
import io.moorstage.lab.targets.StandInTarget;
import io.moorstage.lab.targets.TargetStart;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A target said that it leaves, and got new flows for 3.2 s more, where 3.0 s is the bound. The
 * store had been away for three seconds and had come back from a copy of itself that was some
 * seconds old, so it gave out revisions for the second time. All balancers knew revision 18 from
 * before, and asked for what came after it. While the store was below 18 it refused that, and they
 * read everything, over and over; each wrote these two lines eight times within four seconds:
 *
 * <pre>
 * event=source-regained revision=18
 * event=source-lost failure=history-gone detail="status 410" revision=18
 * </pre>
 *
 * <p>Then two writes came in the pause between such a reading and the next question: the target's
 * draining state and version 23 of the configuration. They brought the store to 18, the question
 * was answered again, and neither was ever told: to the balancers both stood at revisions that they
 * knew. The next version was taken as {@code configuration-taken version=26 revision=19}, one
 * revision after three writes, and no process ever logged that the target was draining.
 */
class RestoredSourceTest {
  private static final String STORE = "127.77.8.1";
  private static final String BALANCER = "127.77.1.1";
  private static final String SIDE_A = "127.77.2.1";
  private static final String SIDE_B = "127.77.2.2";
  private static final int TARGET_SEQUENCE = 1_000;
  private static final long VERSION_BEFORE_COPY = 2;
  private static final long LOST_VERSION = 9;
  private static final long NEXT_VERSION = 12;

  /** The platform's bound for a leaving target, and for a configuration to be in force. */
  private static final int BOUND_MS = 3_000;

  private static final int POLL_MS = 20;

  /** More than a balancer makes without a pause. */
  private static final int PACED_READINGS = 4;

  @TempDir Path folder;
  private Programs programs;
  private StandInStore store;
  private OpeningCount openedAtA;
  private StandInTarget targetA;
  private StandInTarget targetB;
  private TestClient client;
  private int nextPort = 5_000;

  @BeforeEach
  void start() throws Exception {
    programs = new Programs(LaunchCommand.ofOwnClasses(), folder, STORE, List.of(BALANCER));
    store = new StandInStore(new InetSocketAddress(STORE, Ports.STORE));
    openedAtA = new OpeningCount();
    targetA = new StandInTarget(startAt("a", SIDE_A), openedAtA);
    targetB = new StandInTarget(startAt("b", SIDE_B), new OpeningCount());
    client = new TestClient(TARGET_SEQUENCE);
    store.put(StoreKeys.CONFIGURATION, TestEntries.configuration(VERSION_BEFORE_COPY));
    store.put(StoreKeys.target("a"), TestEntries.target(SIDE_A, false));
    store.put(StoreKeys.target("b"), TestEntries.target(SIDE_B, false));
    programs.startAgent(SIDE_A, "z", "tables");
    programs.startAgent(SIDE_B, "z", "tables");
    programs.startBalancer(BALANCER, "z");
    Programs.awaitReady(BALANCER);
  }

  @AfterEach
  void stop() throws Exception {
    programs.close();
    client.close();
    targetA.close();
    targetB.close();
    store.close();
  }

  private static TargetStart startAt(String id, String address) {
    return new TargetStart(id, "tables", address, "z", 5, TARGET_SEQUENCE);
  }

  /** Writes twice what the copy lacks, and waits until the balancer has it. */
  private void writeWhatIsLost() throws Exception {
    store.put(StoreKeys.CONFIGURATION, TestEntries.configuration(LOST_VERSION - 1));
    store.put(StoreKeys.CONFIGURATION, TestEntries.configuration(LOST_VERSION));
    awaitConfiguration(LOST_VERSION);
  }

  private void awaitConfiguration(long version) throws Exception {
    String line = "event=configuration-taken version=" + version + " ";
    long deadlineMs = System.currentTimeMillis() + BOUND_MS;
    while (!programs.log("balancer", BALANCER).contains(line)) {
      assertThat(System.currentTimeMillis()).isLessThan(deadlineMs);
      Thread.sleep(POLL_MS);
    }
  }

  private void openSome() throws Exception {
    for (int i = 0; i < 20; i++) {
      int port = nextPort++;
      assertThat(Packets.isAccepted(client.open(BALANCER, port))).isTrue();
      assertThat(Packets.text(client.request(BALANCER, port, 501))).isEqualTo("answer");
    }
  }

  private void assertThatTargetAHasLeftWithinTheBound() throws Exception {
    Thread.sleep(BOUND_MS);
    int openedBefore = openedAtA.get();
    openSome();
    assertThat(openedAtA.get()).isEqualTo(openedBefore);
  }

  /**
   * Waits until the balancer has read everything since the store came back, and reads at its
   * slowest pace if it reads on: what is written now is written in a pause between two of its
   * calls.
   */
  private void awaitPauseAfterReading(int readingsBefore) throws Exception {
    long deadlineMs = System.currentTimeMillis() + BOUND_MS;
    while (readings() < readingsBefore + PACED_READINGS
        && System.currentTimeMillis() < deadlineMs) {
      Thread.sleep(POLL_MS);
    }
    assertThat(readings()).isGreaterThan(readingsBefore);
  }

  private int readings() throws Exception {
    return programs.log("balancer", BALANCER).split("event=state-from-source", -1).length - 1;
  }

  private void restoreWhileAway(StoreCopy copy) throws Exception {
    store.setMode(StoreMode.BUSY);
    // Longer than a call waits for a change: none of before is still on its way.
    Thread.sleep(SourceFollower.WAIT_MS + 500);
    store.restore(copy);
  }

  @Test
  void targetLeavesInTimeThoughItDrainsAtARevisionThatWasGivenOutBefore() throws Exception {
    StoreCopy copy = store.copy();
    writeWhatIsLost();
    openSome();
    assertThat(openedAtA.get()).isGreaterThan(0);

    int readingsBefore = readings();
    restoreWhileAway(copy);
    store.setMode(StoreMode.SERVING);
    awaitPauseAfterReading(readingsBefore);
    store.put(StoreKeys.target("a"), TestEntries.target(SIDE_A, true));
    store.put(StoreKeys.CONFIGURATION, TestEntries.configuration(LOST_VERSION));

    assertThatTargetAHasLeftWithinTheBound();
  }

  @Test
  void configurationIsInForceInTimeThoughItHasARevisionThatWasGivenOutBefore() throws Exception {
    StoreCopy copy = store.copy();
    writeWhatIsLost();

    int readingsBefore = readings();
    restoreWhileAway(copy);
    store.setMode(StoreMode.SERVING);
    awaitPauseAfterReading(readingsBefore);
    store.put(StoreKeys.CONFIGURATION, TestEntries.configuration(NEXT_VERSION));
    store.put(StoreKeys.target("b"), TestEntries.target(SIDE_B, false));

    awaitConfiguration(NEXT_VERSION);
  }

  // No question is refused here: the store has passed the known revision again before the first.
  @Test
  void targetLeavesInTimeThoughTheSourceHasPassedItsOldRevisionUnseen() throws Exception {
    StoreCopy copy = store.copy();
    writeWhatIsLost();

    restoreWhileAway(copy);
    store.put(StoreKeys.target("a"), TestEntries.target(SIDE_A, true));
    store.put(StoreKeys.CONFIGURATION, TestEntries.configuration(LOST_VERSION));
    store.put(StoreKeys.CONFIGURATION, TestEntries.configuration(NEXT_VERSION));
    store.setMode(StoreMode.SERVING);

    assertThatTargetAHasLeftWithinTheBound();
  }
}
