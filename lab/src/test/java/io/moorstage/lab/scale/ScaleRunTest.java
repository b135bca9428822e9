package io.moorstage.lab.scale;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ScaleRunTest {
  private static final Experiment.Shape SHAPE =
      new Experiment.Shape(3, 3, 7, 7, 21, 3, 50, 500, 2000);

  /** More than two of a leader's heartbeats of 200 ms, so that it must have been heard in it. */
  private static final double IDLE_SECONDS = 0.5;

  /** Real sockets, voters, members, changes and every kind of fault, at the smallest size. */
  @Test
  void tinyFleetYieldsEveryMeasure() throws Exception {
    Experiment experiment =
        experiment(
            Experiment.Kind.CONTROL_PLANE,
            new Experiment.Fault(Experiment.FaultKind.RESTART_MEMBERS, 20, 0, 30),
            new Experiment.Fault(Experiment.FaultKind.LOSE_MEMBERS, 20, 0, 30),
            new Experiment.Fault(Experiment.FaultKind.LOSE_LEADER, 0, 0, 30));
    List<String> failures = new ArrayList<>();

    SizeResult result = new ControlPlaneRun(experiment, 8, 1, failures).run();

    assertThat(failures).isEmpty();
    assertThat(result.targets()).isEqualTo(21);
    assertThat(result.services()).isEqualTo(3);
    assertThat(result.values().keySet())
        .containsExactlyElementsIn(EnumSet.range(Measure.JOIN_MILLIS, Measure.MEMBER_HEAP_KIB));
    assertThat(result.values().get(Measure.LEADER_IDLE_BYTES_PER_SECOND)).isGreaterThan(0.0);
    assertThat(result.values().get(Measure.IN_FORCE_P50_MILLIS)).isGreaterThan(0.0);
  }

  @Test
  void unreachedStatesAreReportedAndNotMadeUp() throws Exception {
    Experiment impossible =
        experiment(
            Experiment.Kind.CONTROL_PLANE,
            new Experiment.Fault(Experiment.FaultKind.LOSE_LEADER, 0, 0, 30),
            new Experiment.Fault(Experiment.FaultKind.LOSE_LEADER, 0, 0, 1));
    List<String> failures = new ArrayList<>();

    new ControlPlaneRun(impossible, 2, 1, failures).run();

    assertThat(failures).hasSize(1);
    assertThat(failures.get(0)).contains("another leader not reached in 1.0 s");
  }

  @Test
  void memberStatesAreMeasured() throws Exception {
    SizeResult result = new MemberStateRun(experiment(Experiment.Kind.MEMBER_STATE), 50, 1).run();

    assertThat(result.values().keySet())
        .containsExactlyElementsIn(
            EnumSet.range(Measure.POLICY_COMPILE_CPU_MILLIS, Measure.TABLE_HEAP_KIB));
    assertThat(result.values().get(Measure.PROPOSAL_BYTES))
        .isGreaterThan(result.values().get(Measure.CHANGE_DELTA_BYTES));
  }

  @Test
  void placementYieldsEveryMeasure() throws Exception {
    List<String> failures = new ArrayList<>();

    SizeResult result =
        new PlacementRun(experiment(Experiment.Kind.PLACEMENT), 3, 1, failures).run();

    assertThat(failures).isEmpty();
    assertThat(result.values().keySet())
        .containsExactlyElementsIn(
            EnumSet.range(Measure.GOSSIP_CPU_PERCENT, Measure.REBUILD_BYTES));
    assertThat(result.values().get(Measure.REBUILD_BYTES)).isGreaterThan(0.0);
  }

  private static Experiment experiment(Experiment.Kind kind, Experiment.Fault... faults) {
    return new Experiment(
        "tiny",
        kind,
        1,
        1,
        SHAPE,
        List.of(8),
        new Experiment.Load(IDLE_SECONDS, 2, 20),
        List.of(faults));
  }
}
