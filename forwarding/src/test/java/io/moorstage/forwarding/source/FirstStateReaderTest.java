package io.moorstage.forwarding.source;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.state.Evacuations;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.StateChanges;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.state.FleetStateCodec;
import io.moorstage.forwarding.state.StateSource;
import io.moorstage.forwarding.state.StateSourceException;
import io.moorstage.forwarding.state.StateSourceFailure;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class FirstStateReaderTest {
  private static final int TIMEOUT_S = 10;

  private final AtomicInteger reads = new AtomicInteger();
  private final BlockingQueue<byte[]> stored = new LinkedBlockingQueue<>();

  /** Returns a source that refuses some reads and then returns a configuration of a version. */
  private StateSource source(int refusals, long version) {
    return new StateSource() {
      @Override
      public FleetState readAll() throws StateSourceException {
        if (reads.incrementAndGet() <= refusals) {
          throw new StateSourceException(StateSourceFailure.REFUSED, "status 503");
        }
        return FleetState.of(
            7,
            new ForwardingConfiguration(version, 1_000, List.of(), Map.of()),
            List.of(),
            Evacuations.NONE);
      }

      @Override
      public StateChanges awaitChanges(long afterRevision, int waitMs) {
        throw new AssertionError("an agent does not follow the source");
      }

      @Override
      public long unusableItems() {
        return 0;
      }

      @Override
      public long responsesWithoutEra() {
        return 0;
      }
    };
  }

  private void start(StateSource source, boolean isStateAvailable) {
    new FirstStateReader(source, () -> isStateAvailable, stored::add, new EventLog("n")).start();
  }

  @Test
  void retriesUntilTheSourceResponds() throws Exception {
    start(source(2, 3), false);
    byte[] encoded = stored.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertThat(FleetStateCodec.decode(encoded).state().configuration().version()).isEqualTo(3);
    assertThat(reads.get()).isEqualTo(3);
  }

  @Test
  void doesNotReadIfAnotherNodeHasTheState() throws Exception {
    start(source(0, 3), true);
    assertThat(stored.poll(1, TimeUnit.SECONDS)).isNull();
    assertThat(reads.get()).isEqualTo(0);
  }

  @Test
  void doesNotStoreAStateWithoutAConfiguration() throws Exception {
    start(source(0, 0), false);
    assertThat(stored.poll(1, TimeUnit.SECONDS)).isNull();
    assertThat(reads.get()).isAtLeast(1);
  }
}
