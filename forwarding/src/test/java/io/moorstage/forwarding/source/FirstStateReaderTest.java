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
  private static final int PATIENCE_S = 10;

  private final AtomicInteger readings = new AtomicInteger();
  private final BlockingQueue<byte[]> taken = new LinkedBlockingQueue<>();

  /** A source that refuses some readings before it answers with a configuration's version. */
  private StateSource source(int refusals, long version) {
    return new StateSource() {
      @Override
      public FleetState readAll() throws StateSourceException {
        if (readings.incrementAndGet() <= refusals) {
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
      public long answersWithoutEra() {
        return 0;
      }
    };
  }

  private void start(StateSource source, boolean needless) {
    new FirstStateReader(source, () -> needless, taken::add, new EventLog("n")).start();
  }

  @Test
  void stateIsReadThoughTheSourceRefusesAtFirst() throws Exception {
    start(source(2, 3), false);
    byte[] encoded = taken.poll(PATIENCE_S, TimeUnit.SECONDS);
    assertThat(FleetStateCodec.decode(encoded).state().configuration().version()).isEqualTo(3);
    assertThat(readings.get()).isEqualTo(3);
  }

  @Test
  void nothingIsReadWhereAnotherNodeKnowsTheState() throws Exception {
    start(source(0, 3), true);
    assertThat(taken.poll(1, TimeUnit.SECONDS)).isNull();
    assertThat(readings.get()).isEqualTo(0);
  }

  @Test
  void stateWithoutAConfigurationIsNotHandedOn() throws Exception {
    start(source(0, 0), false);
    assertThat(taken.poll(1, TimeUnit.SECONDS)).isNull();
    assertThat(readings.get()).isAtLeast(1);
  }
}
