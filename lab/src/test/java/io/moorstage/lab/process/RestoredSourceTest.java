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
 * Guards against changes that are lost when the store is restored from an older copy and assigns
 * revisions a second time. A draining target then got new flows for 3.2 s; the bound is 3.0 s.
 *
 * <p>The store had been unavailable for three seconds and came back from a copy that was some
 * seconds old. All balancers had seen revision 18 before and requested the changes after it. While
 * the store was below 18, it rejected these requests, and each balancer read the complete state
 * again; each logged these two lines eight times within four seconds:
 *
 * <pre>
 * event=source-regained revision=18
 * event=source-lost failure=history-gone detail="status 410" revision=18
 * </pre>
 *
 * <p>Then two writes, the target's draining state and version 23 of the configuration, came in the
 * pause between such a read and the next request for changes, and brought the store to revision 18.
 * The store accepted that request and returned neither write, since both had revisions up to 18.
 * The next version was logged as {@code configuration-taken version=26 revision=19}, one revision
 * after three writes, and no process ever logged that the target was draining.
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

  /** The platform's bound until a draining target or a new configuration takes effect. */
  private static final int BOUND_MS = 3_000;

  private static final int POLL_MS = 20;

  /** More complete reads than a balancer makes before its pacing adds a pause. */
  private static final int PACED_READS = 4;

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
    targetA = new StandInTarget(targetStart("a", SIDE_A), openedAtA);
    targetB = new StandInTarget(targetStart("b", SIDE_B), new OpeningCount());
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

  private static TargetStart targetStart(String id, String address) {
    return new TargetStart(id, "tables", address, "z", 5, TARGET_SEQUENCE);
  }

  /**
   * Makes two writes that the copy does not contain, and waits until the balancer has applied them.
   */
  private void makeWritesThatTheCopyLacks() throws Exception {
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

  private void openFlows() throws Exception {
    for (int i = 0; i < 20; i++) {
      int port = nextPort++;
      assertThat(Packets.isAccepted(client.open(BALANCER, port))).isTrue();
      assertThat(Packets.text(client.request(BALANCER, port, 501))).isEqualTo("answer");
    }
  }

  private void assertThatTargetAGetsNoFlowsAfterTheBound() throws Exception {
    Thread.sleep(BOUND_MS);
    int openedBefore = openedAtA.get();
    openFlows();
    assertThat(openedAtA.get()).isEqualTo(openedBefore);
  }

  /**
   * Waits until the balancer has read the complete state from the restored store. If the balancer
   * keeps reading, waits until its pacing separates the reads: a write that follows falls into a
   * pause between two of its calls.
   */
  private void awaitPauseAfterRead(int readsBefore) throws Exception {
    long deadlineMs = System.currentTimeMillis() + BOUND_MS;
    while (completeReads() < readsBefore + PACED_READS && System.currentTimeMillis() < deadlineMs) {
      Thread.sleep(POLL_MS);
    }
    assertThat(completeReads()).isGreaterThan(readsBefore);
  }

  private int completeReads() throws Exception {
    return programs.log("balancer", BALANCER).split("event=state-from-source", -1).length - 1;
  }

  private void restoreWhileUnavailable(StoreCopy copy) throws Exception {
    store.setMode(StoreMode.BUSY);
    // Longer than a call waits for a change, so that no earlier call is still in flight.
    Thread.sleep(SourceFollower.WAIT_MS + 500);
    store.restore(copy);
  }

  @Test
  void targetDrainsInTimeAtARevisionThatWasAssignedBefore() throws Exception {
    StoreCopy copy = store.copy();
    makeWritesThatTheCopyLacks();
    openFlows();
    assertThat(openedAtA.get()).isGreaterThan(0);

    int readsBefore = completeReads();
    restoreWhileUnavailable(copy);
    store.setMode(StoreMode.SERVING);
    awaitPauseAfterRead(readsBefore);
    store.put(StoreKeys.target("a"), TestEntries.target(SIDE_A, true));
    store.put(StoreKeys.CONFIGURATION, TestEntries.configuration(LOST_VERSION));

    assertThatTargetAGetsNoFlowsAfterTheBound();
  }

  @Test
  void configurationTakesEffectInTimeAtARevisionThatWasAssignedBefore() throws Exception {
    StoreCopy copy = store.copy();
    makeWritesThatTheCopyLacks();

    int readsBefore = completeReads();
    restoreWhileUnavailable(copy);
    store.setMode(StoreMode.SERVING);
    awaitPauseAfterRead(readsBefore);
    store.put(StoreKeys.CONFIGURATION, TestEntries.configuration(NEXT_VERSION));
    store.put(StoreKeys.target("b"), TestEntries.target(SIDE_B, false));

    awaitConfiguration(NEXT_VERSION);
  }

  // No request is rejected here: the store passes the known revision again before the first one.
  @Test
  void targetDrainsInTimeWhenTheSourcePassesItsOldRevisionUnseen() throws Exception {
    StoreCopy copy = store.copy();
    makeWritesThatTheCopyLacks();

    restoreWhileUnavailable(copy);
    store.put(StoreKeys.target("a"), TestEntries.target(SIDE_A, true));
    store.put(StoreKeys.CONFIGURATION, TestEntries.configuration(LOST_VERSION));
    store.put(StoreKeys.CONFIGURATION, TestEntries.configuration(NEXT_VERSION));
    store.setMode(StoreMode.SERVING);

    assertThatTargetAGetsNoFlowsAfterTheBound();
  }
}
