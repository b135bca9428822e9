package io.moorstage.forwarding.peer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.state.Evacuations;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ListedAgentsTest {

  private static FleetState state(int targetsOfEachZone, TargetPhase phase) {
    List<TargetRecord> targets = new ArrayList<>();
    for (int i = 0; i < targetsOfEachZone; i++) {
      targets.add(new TargetRecord("a" + i, "s", 100 + i, "lac", 2, phase, 0, 1, 1));
      targets.add(new TargetRecord("b" + i, "s", 500 + i, "ariana", 2, phase, 0, 1, 1));
    }
    return FleetState.of(3, ForwardingConfiguration.NONE, targets, Evacuations.NONE);
  }

  private static int copyHolders(ListedAgents agents, int firstAddress) {
    int count = 0;
    for (int address = firstAddress; address < firstAddress + 300; address++) {
      count += agents.keepsCopy(address) ? 1 : 0;
    }
    return count;
  }

  @Test
  void numberOfCopiesInAZoneDoesNotGrowWithItsAgents() {
    ListedAgents agents = ListedAgents.NONE.forState(state(238, TargetPhase.READY));
    assertThat(agents.count()).isEqualTo(476);
    assertThat(copyHolders(agents, 100)).isEqualTo(ListedAgents.COPIES_PER_ZONE);
    assertThat(copyHolders(agents, 500)).isEqualTo(ListedAgents.COPIES_PER_ZONE);
  }

  @Test
  void allAgentsOfASmallZoneKeepACopy() {
    assertThat(copyHolders(ListedAgents.NONE.forState(state(3, TargetPhase.READY)), 100))
        .isEqualTo(3);
  }

  @Test
  void agentsOfGoneTargetsKeepNoCopy() {
    assertThat(copyHolders(ListedAgents.NONE.forState(state(3, TargetPhase.GONE)), 100))
        .isEqualTo(0);
  }

  private static TargetRecord start(String id, TargetPhase phase, long listedRevision) {
    return new TargetRecord(id, "s", 100, "lac", 2, phase, 0, listedRevision, listedRevision);
  }

  private static ListedAgents agents(TargetRecord... targets) {
    return ListedAgents.NONE.forState(
        FleetState.of(9, ForwardingConfiguration.NONE, List.of(targets), Evacuations.NONE));
  }

  @Test
  void earlierStartThatIsListedAsReadyIsAReadyPredecessor() {
    TargetRecord now = start("now", TargetPhase.READY, 7);
    assertThat(agents(start("before", TargetPhase.READY, 3), now).isPredecessorListedReady(100))
        .isTrue();
  }

  @Test
  void earlierStartThatHasLeftIsNoReadyPredecessor() {
    TargetRecord now = start("now", TargetPhase.READY, 7);
    assertThat(agents(start("before", TargetPhase.GONE, 3), now).isPredecessorListedReady(100))
        .isFalse();
    assertThat(agents(start("before", TargetPhase.DRAINING, 3), now).isPredecessorListedReady(100))
        .isFalse();
    assertThat(agents(now).isPredecessorListedReady(100)).isFalse();
  }
}
