package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.moorstage.core.agent.OverloadReplay.Kind;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays the load of the design page's contention workload, and checks the bounds B1 to B3 of the
 * page as far as the agents decide them. The bounds are those of the page and must not be changed.
 */
class OverloadReplayTest {
  private static final int TARGETS = 46;
  private static final int START_MS = 100;
  private static final int OVERLOAD_END_MS = 8_000;
  private static final int END_MS = 11_000;
  private static final double FRACTION = 0.95;
  private static final double QUARTER = 0.25;
  private static final double MEAN_WORK_1_MS = 27.9;
  private static final double MEAN_WORK_2_MS = 21.4;
  private static final int PER_S_1 = 341;
  private static final int PER_S_2 = 689;
  private static final double MEAN_WORK_MS =
      (PER_S_1 * MEAN_WORK_1_MS + PER_S_2 * MEAN_WORK_2_MS) / (PER_S_1 + PER_S_2);

  private static final Map<Long, OverloadReplay> TWICE_THE_CAPACITY = new ConcurrentHashMap<>();

  /** Returns a kind of the workload, at a load of both kinds together relative to the capacity. */
  private static Kind kind(int priority, int zone, double load) {
    double perS = load * TARGETS * 1_000 / MEAN_WORK_MS / (PER_S_1 + PER_S_2);
    return priority == 1
        ? new Kind(1, zone, perS * PER_S_1, MEAN_WORK_1_MS, 312, 2_599)
        : new Kind(2, zone, perS * PER_S_2, MEAN_WORK_2_MS, 261, 2_091);
  }

  private static OverloadReplay create(double serviceMs, long seed) {
    return new OverloadReplay(TARGETS, 1, serviceMs, seed);
  }

  private static void addLoad(
      OverloadReplay replay, int priority, double load, long fromMs, long toMs, long seed) {
    for (int zone = 0; zone < 4; zone++) {
      replay.addLoad(kind(priority, zone, load / 4), fromMs, toMs, seed + 10 * priority + zone);
    }
  }

  // Several tests check the same replay, which takes seconds.
  private static OverloadReplay twiceTheCapacity(long seed) {
    return TWICE_THE_CAPACITY.computeIfAbsent(seed, OverloadReplayTest::replayTwiceTheCapacity);
  }

  private static OverloadReplay replayTwiceTheCapacity(long seed) {
    OverloadReplay replay = create(MEAN_WORK_MS, seed);
    addLoad(replay, 1, 2, START_MS, OVERLOAD_END_MS, seed);
    addLoad(replay, 2, 2, START_MS, OVERLOAD_END_MS, seed);
    replay.run(END_MS);
    return replay;
  }

  // Guards against urgent requests that are rejected or late because less urgent ones have the
  // places, and against unused places while openings wait or are rejected.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void urgentRequestsAreServedAsIfAloneAtTwiceTheCapacity(long seed) {
    OverloadReplay both = twiceTheCapacity(seed);
    OverloadReplay alone = create(MEAN_WORK_1_MS, seed);
    addLoad(alone, 1, 2, START_MS, OVERLOAD_END_MS, seed);
    alone.run(END_MS);

    double inTime = both.inTime(1, 0, OVERLOAD_END_MS);
    double inTimeAlone = alone.inTime(1, 0, OVERLOAD_END_MS);
    System.out.printf(
        "B1 seed %d: in time %.3f, alone %.3f, priority 2 %.3f, worked %.3f, overtaken %d%n",
        seed,
        inTime,
        inTimeAlone,
        both.inTime(2, 0, OVERLOAD_END_MS),
        both.utilization(OVERLOAD_END_MS),
        both.overtaken);
    assertThat(inTime).isAtLeast(FRACTION * inTimeAlone);
    assertWithMessage("priority 2 before priority 1").that(both.overtaken).isEqualTo(0);
    assertWithMessage("unused places").that(both.unusedPlaces).isEqualTo(0);
  }

  // Guards against agents that keep an opening until another target can't serve it in time either.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void agentGivesOpeningsBackWithinAQuarterOfTheObjective(long seed) {
    OverloadReplay replay = twiceTheCapacity(seed);
    double fraction = OverloadReplay.fractionWithin(replay.waitsBeforeGiveBack, QUARTER);
    System.out.printf("B1 seed %d: given back within a quarter %.3f%n", seed, fraction);
    assertThat(fraction).isAtLeast(FRACTION);
  }

  // Guards against rejections of which the client learns late, after waits at several agents.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void clientsAreRejectedWithinAQuarterOfTheObjective(long seed) {
    OverloadReplay replay = twiceTheCapacity(seed);
    double fraction = OverloadReplay.fractionWithin(replay.rejectionTimes, QUARTER);
    System.out.printf("B1 seed %d: rejected within a quarter %.3f%n", seed, fraction);
    assertThat(fraction).isAtLeast(FRACTION);
  }

  // Guards against a zone with high demand that takes the share of the others, and against shares
  // that are left unused while it is rejected.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void zonesBelowTheirShareGetWhatTheyRequest(long seed) {
    OverloadReplay replay = create(MEAN_WORK_2_MS, seed);
    for (int zone = 0; zone < 4; zone++) {
      double load = zone == 3 ? 0.6 : 0.2;
      double perS = load * TARGETS * 1_000 / MEAN_WORK_2_MS;
      Kind kind = new Kind(2, zone, perS, MEAN_WORK_2_MS, 261, 2_091);
      replay.addLoad(kind, START_MS, OVERLOAD_END_MS, seed + 10 + zone);
    }
    replay.run(END_MS);
    System.out.printf(
        "B2 seed %d: answered %.3f %.3f %.3f %.3f, in time %.3f %.3f %.3f %.3f, worked %.3f%n",
        seed,
        replay.answeredOfZone(0),
        replay.answeredOfZone(1),
        replay.answeredOfZone(2),
        replay.answeredOfZone(3),
        replay.inTimeOfZone(0),
        replay.inTimeOfZone(1),
        replay.inTimeOfZone(2),
        replay.inTimeOfZone(3),
        replay.utilization(OVERLOAD_END_MS));
    for (int zone = 0; zone < 3; zone++) {
      assertThat(replay.answeredOfZone(zone)).isAtLeast(FRACTION);
    }
    assertWithMessage("unused places").that(replay.unusedPlaces).isEqualTo(0);
    // Its equal share is 0.25 of the capacity, of the 0.6 that it requests.
    assertWithMessage("share of the zone with the most demand")
        .that(replay.answeredOfZone(3) * 0.6)
        .isGreaterThan(0.25);
  }

  // Guards against a standing queue after a power loss, in which targets work on requests whose
  // clients have left.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void requestsAreInTimeAgainThreeSecondsAfterAPowerLoss(long seed) {
    OverloadReplay withLoss = powerLoss(true, seed);
    OverloadReplay withoutLoss = powerLoss(false, seed);
    for (int priority = 1; priority <= 2; priority++) {
      double inTime = withLoss.inTime(priority, 9_000, 11_000);
      double inTimeWithoutLoss = withoutLoss.inTime(priority, 9_000, 11_000);
      System.out.printf(
          "B3 seed %d: priority %d in time %.3f, without a loss of power %.3f%n",
          seed, priority, inTime, inTimeWithoutLoss);
      assertThat(inTime).isAtLeast(FRACTION * inTimeWithoutLoss);
    }
    assertWithMessage("requests started after their client had left")
        .that(withLoss.startedForGone)
        .isEqualTo(0);
  }

  // The load is 0.53 of the capacity, as in the workload, and twice that after the loss. Targets
  // work at full speed from 6 s on.
  private static OverloadReplay powerLoss(boolean happens, long seed) {
    OverloadReplay replay = create(MEAN_WORK_MS, seed);
    for (int priority = 1; priority <= 2; priority++) {
      addLoad(replay, priority, 0.53, START_MS, 4_000, seed);
      addLoad(replay, priority, 2 * 0.53, 4_000, 11_000, seed + 100);
    }
    if (happens) {
      for (ReplayNode node : replay.nodes) {
        replay.at(2_000, node::losePower);
        replay.at(4_000, () -> node.setSpeed(1 / 1.6));
        replay.at(4_000, node::start);
        replay.at(6_000, () -> node.setSpeed(1));
      }
    }
    replay.run(14_000);
    return replay;
  }
}
