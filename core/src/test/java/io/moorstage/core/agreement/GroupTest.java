package io.moorstage.core.agreement;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.moorstage.core.agreement.cluster.ChangeRefusal;
import io.moorstage.core.agreement.cluster.ProposeConfiguration;
import io.moorstage.core.agreement.message.ChangeStatus;
import io.moorstage.core.config.Configuration;
import io.moorstage.core.membership.ChangeOutcome;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Groups of daemons under faults; {@link SimulatedGroup} checks the promises all the time. */
class GroupTest {
  private static final long SECOND = 1_000 * SimulatedGroup.MILLIS;

  /** The leader's lease of 2 s, an election of up to 0.7 s, and a pause in the members' search. */
  private static final long LEASES_AFTER_LEADER_LOSS = 4_000 * SimulatedGroup.MILLIS;

  private static ProposeConfiguration change(String id, long expectedVersion) {
    Configuration compiled = new Configuration(0, id.hashCode(), List.of());
    return new ProposeConfiguration(id, "operator", expectedVersion, compiled, id);
  }

  @Test
  void formsOnceAndLeasesAllMembers() {
    SimulatedGroup group = new SimulatedGroup(1, 3, 3);
    group.runUntil("leases", 10 * SECOND, group::allLeasedOnNewest);
    assertThat(group.committedFormations).hasSize(1);
  }

  @Test
  void formsNothingWhileAnInitialVoterIsDown() {
    SimulatedGroup group = new SimulatedGroup(2, 3, 0);
    group.nodes.get(2).stop();
    group.runFor(20 * SECOND);
    assertThat(group.committedFormations).isEmpty();
    group.nodes.get(2).start();
    group.runUntil("leases", 14 * SECOND, group::allLeasedOnNewest);
  }

  @Test
  void changeIsInForceSoonAndRepeatable() {
    SimulatedGroup group = new SimulatedGroup(3, 3, 3);
    group.runUntil("leases", 10 * SECOND, group::allLeasedOnNewest);
    group.nodes.get(4).submit("first", change("first", 0), 5 * SECOND);
    group.runUntil("outcome", 3 * SECOND, () -> group.outcomes.size() == 1);
    group.nodes.get(5).submit("first", change("first", 0), 5 * SECOND);
    group.nodes.get(3).submit("second", change("second", 0), 5 * SECOND);
    group.runUntil("outcomes", 5 * SECOND, () -> group.outcomes.size() == 3);
    assertThat(group.outcomes.get(0).status()).isEqualTo(ChangeStatus.IN_FORCE);
    for (ChangeOutcome outcome : group.outcomes) {
      if (outcome.changeId().equals("second")) {
        assertThat(outcome.refusal()).isEqualTo(ChangeRefusal.VERSION_CONFLICT);
      } else {
        assertThat(outcome.status()).isEqualTo(ChangeStatus.IN_FORCE);
        assertThat(outcome.version().configurationVersion()).isEqualTo(1);
      }
    }
  }

  @Test
  void restartedVoterHasNoVoteUntilAdmitted() {
    SimulatedGroup group = new SimulatedGroup(4, 3, 0);
    group.runUntil("leases", 10 * SECOND, group::allLeasedOnNewest);
    SimulatedGroup.Node leader = group.leader();
    SimulatedGroup.Node restarted = group.nodes.get((leader.index + 1) % 3);
    restarted.stop();
    restarted.start();
    assertThat(leader.replica.voters()).doesNotContain(restarted.replica.identity());
    group.runUntil(
        "admission",
        5 * SECOND,
        () -> leader.replica.voters().contains(restarted.replica.identity()));
    group.runUntil("full group", 5 * SECOND, () -> group.hasFullVoters(3));
  }

  @Test
  void standbyReplacesASilentVoterAndGivesWayWhenItReturns() {
    SimulatedGroup group = new SimulatedGroup(5, 3, 2);
    group.runUntil("leases", 10 * SECOND, group::allLeasedOnNewest);
    SimulatedGroup.Node gone = group.nodes.get((group.leader().index + 1) % 3);
    gone.stop();
    group.runUntil("replacement", 12 * SECOND, () -> group.hasFullVoters(3));
    gone.start();
    group.runUntil(
        "return",
        12 * SECOND,
        () -> group.hasFullVoters(3) && gone.replica.role() == ReplicaRole.FOLLOWER);
  }

  @Test
  void isolatedLeaderLosesItsLeaseBeforeAnotherIsElected() {
    SimulatedGroup group = new SimulatedGroup(6, 3, 2);
    group.runUntil("leases", 10 * SECOND, group::allLeasedOnNewest);
    SimulatedGroup.Node old = group.leader();
    for (SimulatedGroup.Node node : group.nodes) {
      if (node != old) {
        group.cutBothWays(old.index, node.index);
      }
    }
    group.runUntil("new leader", 5 * SECOND, () -> group.leader() != old && group.leader() != null);
    long term = group.leader().replica.term();
    group.heal();
    group.runUntil("leases", 8 * SECOND, group::allLeasedOnNewest);
    assertWithMessage("a returning voter causes no election")
        .that(group.leader().replica.term())
        .isEqualTo(term);
  }

  private static LongStream seedsOfLeaderLoss() {
    return LongStream.rangeClosed(2_000, 2_060);
  }

  @ParameterizedTest
  @MethodSource("seedsOfLeaderLoss")
  void membersHoldLeasesOfTheNewLeaderSoonAfterTheOldOneIsLost(long seed) {
    SimulatedGroup group = new SimulatedGroup(seed, 3, 12);
    group.runUntil("leases", 10 * SECOND, group::allLeasedOnNewest);
    SimulatedGroup.Node old = group.leader();
    old.stop();
    group.runUntil(
        "all that are left hold a lease of another leader",
        LEASES_AFTER_LEADER_LOSS,
        () -> group.allUpLeasedByAnotherThan(old));
  }

  @Test
  void membersHoldLeasesOfTheNewLeaderSoonThoughMessagesAreLost() {
    SimulatedGroup group = new SimulatedGroup(31, 3, 12);
    group.runUntil("leases", 10 * SECOND, group::allLeasedOnNewest);
    SimulatedGroup.Node old = group.leader();
    group.lossRate = 0.1;
    old.stop();
    group.runUntil(
        "all that are left hold a lease of another leader",
        LEASES_AFTER_LEADER_LOSS,
        () -> group.allUpLeasedByAnotherThan(old));
  }

  @Test
  void voterThatMissesOnlyTheLeaderElectsNobody() {
    SimulatedGroup group = new SimulatedGroup(9, 3, 1);
    group.runUntil("leases", 10 * SECOND, group::allLeasedOnNewest);
    SimulatedGroup.Node leader = group.leader();
    int other = (leader.index + 1) % 3;
    group.cutBothWays(leader.index, other);
    long end = group.now + 20 * SECOND;
    group.runUntil(
        "end",
        21 * SECOND,
        () -> {
          assertThat(group.nodes.get(other).replica.role()).isNotEqualTo(ReplicaRole.LEADER);
          return group.now >= end;
        });
    assertThat(group.leader()).isEqualTo(leader);
  }

  @Test
  void majorityRestartedFormsNothingWhileAVoterHoldsState() {
    SimulatedGroup group = new SimulatedGroup(10, 3, 0);
    group.runUntil("leases", 10 * SECOND, group::allLeasedOnNewest);
    group.nodes.get(0).stop();
    group.nodes.get(1).stop();
    group.nodes.get(0).start();
    group.nodes.get(1).start();
    group.runFor(20 * SECOND);
    assertWithMessage("one voter holds the state").that(group.leader()).isNull();
    assertThat(group.committedFormations).hasSize(1);
  }

  @Test
  void groupFormedAnewTakesOverWhatMembersHaveKept() {
    SimulatedGroup group = new SimulatedGroup(11, 3, 2);
    group.runUntil("leases", 10 * SECOND, group::allLeasedOnNewest);
    group.nodes.get(4).submit("kept", change("kept", 0), 5 * SECOND);
    group.runUntil("outcome", 5 * SECOND, () -> !group.outcomes.isEmpty());
    for (int i = 0; i < 3; i++) {
      group.nodes.get(i).stop();
    }
    for (int i = 0; i < 3; i++) {
      group.nodes.get(i).start();
    }
    group.runUntil("leases", 40 * SECOND, group::allLeasedOnNewest);
    assertThat(group.committedFormations).hasSize(2);
    for (SimulatedGroup.Node node : group.nodes) {
      assertThat(node.session.state().source()).isEqualTo("kept");
      assertThat(node.session.state().configuration().version()).isEqualTo(1);
    }
    group.nodes.get(0).submit("next", change("next", 1), 5 * SECOND);
    group.runUntil("outcome", 5 * SECOND, () -> group.outcomes.size() == 2);
    assertThat(group.outcomes.get(1).status()).isEqualTo(ChangeStatus.IN_FORCE);
  }

  @Test
  void leaderThatHearsNobodyMakesRoom() {
    SimulatedGroup group = new SimulatedGroup(7, 3, 0);
    group.runUntil("leases", 10 * SECOND, group::allLeasedOnNewest);
    SimulatedGroup.Node deaf = group.leader();
    group.nodes.forEach(node -> group.cut(node.index, deaf.index));
    group.runUntil(
        "new leader", 8 * SECOND, () -> group.leader() != deaf && group.leader() != null);
  }

  @Test
  void withoutMajorityChangesAreRefusedOrUnknownAndNeverAccepted() {
    SimulatedGroup group = new SimulatedGroup(8, 3, 1);
    group.runUntil("leases", 10 * SECOND, group::allLeasedOnNewest);
    group.nodes.forEach(
        node -> {
          if (node != group.leader() && node.index < 3) {
            node.pause(60 * SECOND);
          }
        });
    group.runFor(5 * SECOND);
    group.nodes.get(3).submit("lost", change("lost", 0), 3 * SECOND);
    group.runUntil("outcome", 5 * SECOND, () -> !group.outcomes.isEmpty());
    assertThat(group.outcomes.get(0).status()).isEqualTo(ChangeStatus.REFUSED);
    assertThat(group.outcomes.get(0).refusal()).isEqualTo(ChangeRefusal.NO_QUORUM);
  }

  @ParameterizedTest
  @ValueSource(longs = {100, 200, 300, 400, 500, 600, 700, 800, 900, 1000})
  void keepsItsPromisesUnderRandomFaults(long firstSeed) {
    for (long seed = firstSeed; seed < firstSeed + 20; seed++) {
      new RandomFaults(seed).run();
    }
  }
}
