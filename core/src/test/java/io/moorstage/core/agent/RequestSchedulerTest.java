package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.message.SchedulingTerms;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the order in which requests that wait are served, and which openings are rejected. */
class RequestSchedulerTest {
  private static final int ADMITTED = 2;
  private static final int SERVICE_MS = 20;
  private static final int OBJECTIVE_MS = 400;
  private static final int TIMEOUT_MS = 2_000;
  private static final long ROUTE = 7;
  private static final long SEED = 20261203;

  private double serviceMs = SERVICE_MS;
  private final RequestScheduler<String> scheduler = new RequestScheduler<>(unused -> serviceMs);
  private long nowMs = 10_000;

  @BeforeEach
  void setCapacity() {
    scheduler.setCapacity(1);
  }

  private ScheduledRequest<String> open(String name, int priority, int order, int zone) {
    return open(name, priority, order, zone, 0);
  }

  private ScheduledRequest<String> open(String name, int priority, int order, int zone, int copy) {
    SchedulingTerms terms = new SchedulingTerms(OBJECTIVE_MS, priority, order, zone);
    return scheduler.addOpening(name, terms, ROUTE, TIMEOUT_MS, copy, ADMITTED, nowMs);
  }

  private ScheduledRequest<String> request(String name, int priority, int order) {
    SchedulingTerms terms = new SchedulingTerms(OBJECTIVE_MS, priority, order, 0);
    return scheduler.addRequest(name, terms, ROUTE, TIMEOUT_MS, nowMs);
  }

  private String next() {
    return scheduler.pollNext(nowMs);
  }

  // Guards against a less urgent request that is served first because it came first.
  @Test
  void servesByPriorityThenByClientOrderThenByArrival() {
    open("late order", 2, 9, 0);
    open("first of order 3", 2, 3, 0);
    request("second of order 3", 2, 3);
    open("urgent", 1, 200, 0);
    assertThat(next()).isEqualTo("urgent");
    assertThat(next()).isEqualTo("first of order 3");
    assertThat(next()).isEqualTo("second of order 3");
    assertThat(next()).isEqualTo("late order");
    assertThat(next()).isNull();
  }

  // Guards against a zone whose many requests delay the few of another zone.
  @Test
  void servesZonesInTurn() {
    open("a1", 2, 1, 1);
    open("a2", 2, 2, 1);
    open("a3", 2, 3, 1);
    open("b1", 2, 250, 2);
    assertThat(next()).isEqualTo("a1");
    assertThat(next()).isEqualTo("b1");
    assertThat(next()).isEqualTo("a2");
    assertThat(next()).isEqualTo("a3");
  }

  // Guards against openings that wait although they can't be in time: with 2 admitted and 20 ms
  // each, the ninth would start after 200 ms, which is half of the objective.
  @Test
  void rejectsAnOpeningThatWouldStartTooLate() {
    for (int i = 0; i <= 8; i++) {
      assertThat(open("o" + i, 2, 5, 0)).isNotNull();
    }
    assertThat(open("too late", 2, 5, 0)).isNull();
    assertThat(open("lower order", 2, 4, 0)).isNotNull();
    assertThat(scheduler.size()).isEqualTo(10);
  }

  // Guards against the time before a copy of the opening being ignored.
  @Test
  void laterCopyHasLessTimeToWait() {
    assertThat(open("copy", 2, 5, 0, 1)).isNull();
  }

  // Guards against waiting openings that become late unnoticed when more urgent ones arrive, and
  // against the loss of one of a small share instead of the largest.
  @Test
  void arrivalPushesOutTheLastOfTheLargestShare() {
    for (int i = 0; i < 5; i++) {
      open("a" + i, 2, i, 1);
    }
    for (int i = 0; i < 4; i++) {
      open("b" + i, 2, i, 2);
    }
    ScheduledRequest<String> first = open("urgent", 1, 0, 0);
    assertThat(scheduler.pollDelayed(first, ADMITTED, nowMs)).isEqualTo("a4");
    assertThat(scheduler.pollDelayed(first, ADMITTED, nowMs)).isNull();
  }

  // Guards against the rejection of a request on an open flow, which must never be rejected.
  @Test
  void requestsOnOpenFlowsAreNeverPushedOut() {
    for (int i = 0; i < 40; i++) {
      request("r" + i, 2, 5);
    }
    ScheduledRequest<String> urgent = request("urgent", 1, 0);
    assertThat(scheduler.pollDelayed(urgent, ADMITTED, nowMs)).isNull();
    nowMs += 60_000;
    assertThat(scheduler.pollExpired(nowMs)).isNull();
    for (int i = 0; i < 41; i++) {
      assertThat(next()).isNotNull();
    }
  }

  // Guards against work for an opening that is late already while others can still be in time.
  @Test
  void lateOpeningIsServedLastAndIsRejectedBeforeItsClientGivesUp() {
    open("old", 1, 0, 0);
    nowMs += OBJECTIVE_MS;
    open("new", 2, 200, 0);
    assertThat(next()).isEqualTo("new");
    nowMs += 1_299 - OBJECTIVE_MS;
    assertThat(scheduler.pollExpired(nowMs)).isNull();
    nowMs += 1;
    assertThat(scheduler.pollExpired(nowMs)).isEqualTo("old");
    assertThat(scheduler.size()).isEqualTo(0);
  }

  // Guards against the loss of an opening when the agent is not scheduled for seconds.
  @Test
  void openingsThatExpireTogetherAreAllReturned() {
    open("a", 1, 0, 0);
    open("b", 2, 0, 0);
    nowMs += 5_000;
    assertThat(scheduler.pollExpired(nowMs)).isNotNull();
    assertThat(scheduler.pollExpired(nowMs)).isNotNull();
    assertThat(scheduler.pollExpired(nowMs)).isNull();
    assertThat(scheduler.size()).isEqualTo(0);
  }

  // Guards against reports that keep away openings that the agent would admit.
  @Test
  void admittedRankIsTheHighestThatWouldBeQueued() {
    assertThat(scheduler.admittedRank(ADMITTED, nowMs)).isEqualTo(SchedulingTerms.ADMIT_ALL);
    for (int i = 0; i <= 8; i++) {
      open("o" + i, 2, 10 + i, 0);
    }
    int rank = scheduler.admittedRank(ADMITTED, nowMs);
    assertThat(rank).isEqualTo(new SchedulingTerms(0, 2, 17, 0).rank());
    assertThat(open("admitted", 2, 17, 0)).isNotNull();
    next();
    assertThat(open("not admitted", 2, 18, 0)).isNull();
  }

  // Guards against a reported rank that differs from what is queued, for any sizes of the shares.
  @Test
  void openingOfTheAdmittedRankIsQueuedAndOneAboveItIsNot() {
    Random random = new Random(SEED);
    int limited = 0;
    for (int round = 0; round < 200; round++) {
      RequestScheduler<String> queue = new RequestScheduler<>(unused -> SERVICE_MS);
      queue.setCapacity(1 + random.nextInt(3));
      int zones = 1 + random.nextInt(4);
      int arrivals = random.nextInt(80);
      for (int i = 0; i < arrivals; i++) {
        addOpening(queue, random.nextInt(256), random.nextInt(zones));
      }
      int rank = queue.admittedRank(ADMITTED, nowMs);
      if (rank == SchedulingTerms.ADMIT_ALL) {
        continue;
      }
      limited++;
      int order = rank - new SchedulingTerms(0, 2, 0, 0).rank();
      boolean admitsAtRank = false;
      for (int zone = 0; zone < zones; zone++) {
        assertThat(addOpening(queue, order + 1, zone)).isNull();
        ScheduledRequest<String> atRank = order < 0 ? null : addOpening(queue, order, zone);
        if (atRank != null) {
          admitsAtRank = true;
          queue.remove(atRank);
        }
      }
      assertThat(admitsAtRank).isEqualTo(order >= 0);
    }
    assertThat(limited).isGreaterThan(50);
  }

  private ScheduledRequest<String> addOpening(RequestScheduler<String> queue, int order, int zone) {
    SchedulingTerms terms = new SchedulingTerms(OBJECTIVE_MS, 2, order, zone);
    return queue.addOpening("o", terms, ROUTE, TIMEOUT_MS, 0, ADMITTED, nowMs);
  }

  // Guards against an unknown service time being taken for none, which would admit all.
  @Test
  void unknownServiceTimeIsReplacedByADefault() {
    serviceMs = 0;
    assertThat(scheduler.serviceMs(nowMs)).isEqualTo(25);
  }

  // Guards against memory that grows with the zones and routes ever seen.
  @Test
  void forgetsUnusedShares() {
    ScheduledRequest<String> opening = open("o", 1, 0, 0);
    scheduler.remove(opening);
    scheduler.remove(opening);
    for (int i = 0; i < 20; i++) {
      request("r" + i, 2, 0);
    }
    int rankBefore = scheduler.admittedRank(ADMITTED, nowMs);
    assertThat(rankBefore).isEqualTo(new SchedulingTerms(0, 1, 255, 0).rank());
    while (next() != null) {}
    nowMs += 4_000;
    scheduler.evictUnusedShares(nowMs);
    assertThat(scheduler.admittedRank(100, nowMs)).isEqualTo(SchedulingTerms.ADMIT_ALL);
  }

  // Guards against reports that keep away openings more urgent than any that was seen: nothing is
  // known of them, and the balancer would reset them without asking an agent.
  @Test
  void admittedRankDoesNotExcludeMoreUrgentOpeningsThatWereNotSeen() {
    int admitted = 100;
    SchedulingTerms seen = new SchedulingTerms(OBJECTIVE_MS, 2, 5, 0);
    assertThat(scheduler.addOpening("seen", seen, ROUTE, TIMEOUT_MS, 0, admitted, nowMs)).isNull();
    int rank = scheduler.admittedRank(admitted, nowMs);
    assertThat(rank).isAtLeast(new SchedulingTerms(0, 1, 255, 0).rank());
  }
}
