package io.moorstage.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Without a mechanism some seed breaks a promise: the simulation sees what it is there to see. */
final class RemovedMechanismTest {
  private static final int MAX_SEEDS = 1_000;
  private static final Set<FaultKind> CUTS =
      Set.of(FaultKind.ISOLATE_PROCESS, FaultKind.CUT_ZONES, FaultKind.CUT_ZONES_ONE_WAY);

  /**
   * What is added to each cut. A process that is back soon learns what it has missed in time, with
   * or without a lease; one that is away for longer must stop by itself.
   */
  private static final long LONGER_NANOS = 7_000_000_000L;

  @ParameterizedTest
  @CsvSource({
    "NEW_INCARNATION_OF_AGENT, AT_MOST_ONCE",
    "LEASE_CHECK, NO_NEW_WORK_WHEN_LEAVING",
  })
  void promiseBreaksWithoutMechanism(Mechanism mechanism, Promise promise) {
    Set<Mechanism> removed = Set.of(mechanism);
    for (long seed = 0; seed < MAX_SEEDS; seed++) {
      List<Fault> faults = withLongerCuts(FaultSchedule.of(seed));
      SimulationResult result = Simulation.run(seed, faults, false, removed);
      if (result.breaks(promise)) {
        String report = TraceShrinker.describe(result, removed);
        System.out.printf("without=%s %s", mechanism, report);
        assertThat(report).contains("seed=" + seed);
        assertThat(report).contains("VIOLATION " + result.violations().get(0).promise());
        assertThat(Simulation.run(seed, faults, false, Set.of()).breaks(promise)).isFalse();
        return;
      }
    }
    assertWithMessage("no seed of " + MAX_SEEDS + " breaks " + promise).fail();
  }

  private static List<Fault> withLongerCuts(List<Fault> faults) {
    List<Fault> longer = new ArrayList<>();
    for (Fault fault : faults) {
      long more = CUTS.contains(fault.kind()) ? LONGER_NANOS : 0;
      longer.add(
          new Fault(
              fault.kind(), fault.timeNanos(), fault.subject(), fault.durationNanos() + more));
    }
    return longer;
  }
}
