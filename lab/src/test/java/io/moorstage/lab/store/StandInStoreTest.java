package io.moorstage.lab.store;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.moorstage.core.error.Failure;
import io.moorstage.core.model.Endpoint;
import io.moorstage.core.state.ColdStart;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.Revision;
import io.moorstage.core.state.StateChanges;
import io.moorstage.core.state.WeightedService;
import io.moorstage.forwarding.state.StateSourceException;
import io.moorstage.forwarding.state.StateSourceFailure;
import io.moorstage.lab.edge.Ipv4;
import io.moorstage.lab.edge.StoreJson;
import io.moorstage.lab.edge.StoreKeys;
import io.moorstage.lab.process.Ports;
import io.moorstage.lab.targets.TargetStart;
import io.moorstage.platform.StoreStateSource;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the store through the client that the programs use. */
class StandInStoreTest {
  private static final String ADDRESS = "127.80.8.1";
  private static final TargetStart TARGET = TargetStart.of("t", "tables", "127.80.2.2", "z", 3);

  private StandInStore store;
  private StoreStateSource reader;

  @BeforeEach
  void start() throws IOException {
    store = new StandInStore(new InetSocketAddress(ADDRESS, Ports.STORE));
    reader = new StoreStateSource(Endpoint.of(Ipv4.number(ADDRESS), Ports.STORE));
  }

  @AfterEach
  void stop() {
    store.close();
  }

  private Failure failureOf(long afterRevision) {
    StateSourceException e =
        assertThrows(StateSourceException.class, () -> reader.awaitChanges(afterRevision, 0));
    return e.failure();
  }

  @Test
  void configurationIsReadAsItWasWritten() throws Exception {
    List<WeightedService> services =
        List.of(new WeightedService("tables", 3), new WeightedService("bundles", 1));
    ForwardingRoute shared = new ForwardingRoute(0xC6120001, 443, 3_000, true, services);
    ForwardingRoute plain =
        new ForwardingRoute(0xC6120002, 8_443, 0, false, List.of(new WeightedService("tables", 1)));
    ForwardingConfiguration written =
        new ForwardingConfiguration(
            7, 5_000, List.of(shared, plain), Map.of("tables", new ColdStart(1_500, 4)));
    store.put(StoreKeys.CONFIGURATION, StoreJson.configuration(written));

    ForwardingConfiguration read = reader.readAll().configuration();
    assertThat(read.version()).isEqualTo(7);
    assertThat(read.idleTimeoutMs()).isEqualTo(5_000);
    assertThat(read.routes()).containsExactly(shared, plain).inOrder();
    assertThat(read.coldStartsByService()).isEqualTo(written.coldStartsByService());
    assertThat(reader.unusableItems()).isEqualTo(0);
  }

  @Test
  void watchReturnsTheChangesAfterTheGivenRevision() throws Exception {
    long before = reader.readAll().revision();
    store.put(StoreKeys.target("t"), TARGET.entry());
    StateChanges listed = reader.awaitChanges(before, 0);
    assertThat(listed.written()).hasSize(1);
    store.remove(StoreKeys.target("t"));
    assertThat(reader.awaitChanges(listed.revision(), 0).written()).isEmpty();
    FleetState all = reader.readAll();
    assertThat(all.targets()).isEmpty();
    assertThat(all.revision()).isEqualTo(before + 2);
  }

  @Test
  void watchFromBeforeACompactionFailsAsHistoryGone() throws Exception {
    long before = reader.readAll().revision();
    store.put(StoreKeys.target("t"), TARGET.entry());
    store.compact();
    assertThat(failureOf(before)).isEqualTo(StateSourceFailure.HISTORY_GONE);
  }

  @Test
  void busyStoreRejectsCalls() {
    store.setMode(StoreMode.BUSY);
    assertThat(failureOf(Revision.of(1, 0))).isEqualTo(StateSourceFailure.REFUSED);
  }

  @Test
  void replayingStoreReturnsChangesThatTheCallerHasReceived() throws Exception {
    store.put(StoreKeys.target("t"), TARGET.entry());
    long now = reader.readAll().revision();
    store.setMode(StoreMode.REPLAYING);
    assertThat(reader.awaitChanges(now, 0).written()).hasSize(1);
  }

  @Test
  void restoredStoreRejectsAWatchFromARevisionThatItDoesNotHave() throws Exception {
    store.put(StoreKeys.target("t"), TARGET.entry());
    StoreCopy copy = store.copy();
    store.remove(StoreKeys.target("t"));
    long lost = reader.readAll().revision();
    store.restore(copy);
    assertThat(failureOf(lost)).isEqualTo(StateSourceFailure.ERA_CHANGED);
    long lostCount = Revision.count(lost);
    assertThat(failureOf(Revision.of(2, lostCount))).isEqualTo(StateSourceFailure.HISTORY_GONE);
    assertThat(reader.readAll().targets()).hasSize(1);
  }
}
