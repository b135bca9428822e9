package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.TargetRecord;
import io.moorstage.core.state.WeightedService;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays the openings of the contention workload at 2.6 times its load, 2,680 per second, against
 * agents that admit 0.73 of them by rank, at times less and at times all. Guards against messages
 * for openings that no target admits, and against rejections while a target admits.
 */
class AdmissionLoadTest {
  private static final long SEED = 20261203;
  private static final int TARGETS = 46;
  private static final int ZONES = 4;
  private static final int FIRST_TARGET = 0x0A010010;
  private static final int CLIENTS = 4_000;
  private static final int FIRST_CLIENT = 0x64400001;
  private static final int REPORT_INTERVAL_MS = 100;

  /** The interval that a balancer requests of 50 agents, with a delay of up to two ticks. */
  private static final int SLOW_REPORT_INTERVAL_MS = 500;

  private static final int MAX_REPORT_DELAY_MS = 20;
  private static final int REPORT_VALID_MS = 750;
  private static final int GIVE_BACK_DELAY_MS = 2;
  private static final int RETRY_DELAY_MS = 200;
  private static final int MAX_ATTEMPTS = 3;
  private static final int PERIOD_MS = 3_000;
  private static final double OPENINGS_PER_MS = 2.68;

  /** The fraction of openings of the route of priority 1. */
  private static final double URGENT_FRACTION = 341.0 / (341 + 689);

  /** Admits priority 1 and 0.60 of priority 2, which together are 0.73 of the openings. */
  private static final int ADMITTED_RANK = 2 << 8 | 152;

  private final AdmissionFixture fixture = new AdmissionFixture();
  private final Random random = new Random(SEED);
  private final int[] limits = new int[TARGETS];
  private final int[] reportedRanks = new int[TARGETS];
  private final long[] reportedAtMs = new long[TARGETS];
  private final long[] nextReportAtMs = new long[TARGETS];
  private final Map<FlowId, Opening> openings = new HashMap<>();
  private final Deque<GiveBack> givenBack = new ArrayDeque<>();
  private final Deque<Retry> retries = new ArrayDeque<>();
  private final long startMs = fixture.nowMs;
  private double dueOpenings;
  private int nextPort = 1;
  private int reportIntervalMs = REPORT_INTERVAL_MS;
  private int maxReportDelayMs = 1;
  private int handledForwards;
  private int handledResets;

  /** An opening and its result. */
  private static final class Opening {
    private final Segment segment;
    private final int priority;
    private final int attempt;
    private final long atMs;
    private final long period;
    private int forwards;
    private boolean admitted;
    private boolean reset;

    private Opening(Segment segment, int priority, int attempt, long atMs, long period) {
      this.segment = segment;
      this.priority = priority;
      this.attempt = attempt;
      this.atMs = atMs;
      this.period = period;
    }
  }

  private record GiveBack(long atMs, int address, Segment segment) {}

  private record Retry(long atMs, Opening rejected) {}

  @BeforeEach
  void listTargets() {
    List<TargetRecord> targets = new ArrayList<>();
    for (int index = 0; index < TARGETS; index++) {
      targets.add(Fleet.targetIn(zoneOf(index), FIRST_TARGET + index));
      limits[index] = SchedulingTerms.ADMIT_ALL;
      reportedAtMs[index] = Long.MIN_VALUE / 2;
      nextReportAtMs[index] = fixture.nowMs + index * 2;
    }
    fixture.balancer.onState(
        Fleet.state(1, 1, List.of(route(1), route(2)), targets), fixture.nowMs);
  }

  private static String zoneOf(int index) {
    return index % ZONES == 0 ? Fleet.ZONE : "z" + index % ZONES;
  }

  private static ForwardingRoute route(int priority) {
    return new ForwardingRoute(
        Fleet.SERVICE_ADDRESS,
        priority,
        2_091,
        priority == 2,
        261,
        priority,
        List.of(new WeightedService(Fleet.SERVICE, 1)));
  }

  private void setLimits(int admittedRank) {
    for (int index = 0; index < TARGETS; index++) {
      limits[index] = admittedRank;
    }
  }

  private void run(int durationMs) {
    for (int ms = 0; ms < durationMs; ms++) {
      fixture.nowMs++;
      fixture.balancer.setOrderPeriod(periodNow());
      sendReports();
      while (!givenBack.isEmpty() && givenBack.peek().atMs() <= fixture.nowMs) {
        GiveBack next = givenBack.remove();
        fixture.giveBack(next.address(), GiveBackReason.OVERLOADED, next.segment());
        handleActions(openings.get(next.segment().flow()));
      }
      while (!retries.isEmpty() && retries.peek().atMs() <= fixture.nowMs) {
        Opening rejected = retries.remove().rejected();
        int client = rejected.segment.flow().clientAddress();
        open(client, rejected.priority, rejected.attempt + 1);
      }
      for (dueOpenings += OPENINGS_PER_MS; dueOpenings >= 1; dueOpenings--) {
        int priority = random.nextDouble() < URGENT_FRACTION ? 1 : 2;
        open(FIRST_CLIENT + random.nextInt(CLIENTS), priority, 1);
      }
    }
  }

  private long periodNow() {
    return AdmissionFixture.PERIOD + (fixture.nowMs - startMs) / PERIOD_MS;
  }

  private void sendReports() {
    for (int index = 0; index < TARGETS; index++) {
      if (fixture.nowMs >= nextReportAtMs[index]) {
        nextReportAtMs[index] = fixture.nowMs + reportIntervalMs + random.nextInt(maxReportDelayMs);
        fixture.report(FIRST_TARGET + index, zoneOf(index), limits[index]);
        reportedRanks[index] = limits[index];
        reportedAtMs[index] = fixture.nowMs;
      }
    }
  }

  private void open(int client, int priority, int attempt) {
    FlowId flow = new FlowId(client, nextPort++, Fleet.SERVICE_ADDRESS, priority);
    Segment segment = Fleet.open(flow, 0);
    Opening opening = new Opening(segment, priority, attempt, fixture.nowMs, periodNow());
    openings.put(flow, opening);
    fixture.send(segment);
    if (fixture.forwarded.size() > handledForwards) {
      assertThat(fixture.lastForwarded().rank()).isEqualTo(rankOf(opening));
    }
    handleActions(opening);
  }

  private static int rankOf(Opening opening) {
    int client = opening.segment.flow().clientAddress();
    return opening.priority << 8 | ClientOrder.of(client, opening.period);
  }

  private void handleActions(Opening opening) {
    for (; handledForwards < fixture.forwarded.size(); handledForwards++) {
      int address = fixture.forwarded.get(handledForwards).address();
      opening.forwards++;
      if (rankOf(opening) <= limits[address - FIRST_TARGET]) {
        opening.admitted = true;
      } else {
        givenBack.add(new GiveBack(fixture.nowMs + GIVE_BACK_DELAY_MS, address, opening.segment));
      }
    }
    for (; handledResets < fixture.reset.size(); handledResets++) {
      opening.reset = true;
      if (opening.forwards < AdmissionFixture.POLICY.overload().maxPlacements()) {
        assertThatNoTargetAdmits(opening);
      }
      if (opening.attempt < MAX_ATTEMPTS) {
        retries.add(new Retry(fixture.nowMs + RETRY_DELAY_MS, opening));
      }
    }
  }

  private void assertThatNoTargetAdmits(Opening opening) {
    for (int index = 0; index < TARGETS; index++) {
      boolean isValid = fixture.nowMs - reportedAtMs[index] <= REPORT_VALID_MS;
      assertWithMessage("%s at %s ms", opening.segment.flow(), fixture.nowMs - startMs)
          .that(isValid && reportedRanks[index] < rankOf(opening))
          .isTrue();
    }
  }

  /** Returns the openings between two times after the start, with or without retries. */
  private List<Opening> openingsBetween(int fromMs, int untilMs, boolean withRetries) {
    List<Opening> found = new ArrayList<>();
    for (Opening opening : openings.values()) {
      long atMs = opening.atMs - startMs;
      if (atMs >= fromMs && atMs < untilMs && (withRetries || opening.attempt == 1)) {
        found.add(opening);
      }
    }
    return found;
  }

  private static double admittedFraction(List<Opening> openings, int priority) {
    int admitted = 0;
    int all = 0;
    for (Opening opening : openings) {
      if (opening.priority == priority || priority == 0) {
        all++;
        admitted += opening.admitted ? 1 : 0;
      }
    }
    return (double) admitted / all;
  }

  private static int forwards(List<Opening> openings) {
    int forwards = 0;
    for (Opening opening : openings) {
      forwards += opening.forwards;
    }
    return forwards;
  }

  @Test
  void openingsThatNoTargetAdmitsTakeNoMessage() {
    setLimits(ADMITTED_RANK);
    run(6_000);
    // All agents have reported after the first 100 ms.
    List<Opening> all = openingsBetween(REPORT_INTERVAL_MS, 6_000, true);
    for (Opening opening : all) {
      assertThat(opening.reset).isNotEqualTo(opening.admitted);
      assertThat(opening.forwards).isEqualTo(opening.admitted ? 1 : 0);
    }
    List<Opening> first = openingsBetween(REPORT_INTERVAL_MS, 6_000, false);
    assertThat(admittedFraction(first, 1)).isEqualTo(1.0);
    assertThat(admittedFraction(first, 0)).isWithin(0.02).of(0.73);
  }

  /** The interval that a balancer requests grows with the number of its agents. */
  @Test
  void openingsThatNoTargetAdmitsTakeNoMessageIfTheAgentsOfALargeFleetReport() {
    reportIntervalMs = SLOW_REPORT_INTERVAL_MS;
    maxReportDelayMs = MAX_REPORT_DELAY_MS;
    setLimits(ADMITTED_RANK);
    run(6_000);
    int unnecessary = 0;
    int rejected = 0;
    List<Opening> all = openingsBetween(2 * SLOW_REPORT_INTERVAL_MS, 6_000, true);
    for (Opening opening : all) {
      rejected += opening.admitted ? 0 : 1;
      unnecessary += opening.admitted ? 0 : opening.forwards;
    }
    assertThat(rejected).isGreaterThan(10_000);
    assertThat(unnecessary).isEqualTo(0);
  }

  @Test
  void retriesAreRejectedInTheSamePeriodAndEachClientGetsItsTurn() {
    setLimits(ADMITTED_RANK);
    int periods = 10;
    run(periods * PERIOD_MS);
    int retriesInPeriod = 0;
    Map<Integer, Boolean> servedByClient = new HashMap<>();
    for (Opening opening : openingsBetween(REPORT_INTERVAL_MS, periods * PERIOD_MS, true)) {
      long periodsBefore = (opening.atMs - startMs - RETRY_DELAY_MS) / PERIOD_MS;
      boolean isSamePeriod = AdmissionFixture.PERIOD + periodsBefore == opening.period;
      if (opening.attempt == 2 && isSamePeriod) {
        retriesInPeriod++;
        assertThat(opening.admitted).isFalse();
        assertThat(opening.forwards).isEqualTo(0);
      }
      servedByClient.merge(
          opening.segment.flow().clientAddress(), opening.admitted, Boolean::logicalOr);
    }
    assertThat(retriesInPeriod).isGreaterThan(10_000);
    assertThat(servedByClient).hasSize(CLIENTS);
    assertThat(servedByClient.values()).doesNotContain(false);
  }

  @Test
  void levelIsBackWithin500MsAfterTheLoadFalls() {
    for (int cycle = 0; cycle < 5; cycle++) {
      setLimits(ADMITTED_RANK);
      run(1_000);
      assertThat(fixture.balancer.lowestAdmissionLevel(fixture.nowMs)).isEqualTo(ADMITTED_RANK);
      setLimits(SchedulingTerms.ADMIT_ALL);
      run(500);
      assertThat(fixture.balancer.lowestAdmissionLevel(fixture.nowMs))
          .isEqualTo(SchedulingTerms.ADMIT_ALL);
      int resetsBefore = fixture.reset.size();
      run(500);
      assertThat(fixture.reset).hasSize(resetsBefore);
    }
  }

  @Test
  void nothingIsRejectedWhileOneTargetAdmits() {
    // Checked in each reset against the reports, which open and close at random.
    for (int step = 0; step < 60; step++) {
      for (int index = 0; index < TARGETS; index++) {
        limits[index] =
            random.nextInt(TARGETS) == 0
                ? SchedulingTerms.ADMIT_ALL
                : ADMITTED_RANK - 40 + random.nextInt(81);
      }
      run(100);
    }
    List<Opening> all = openingsBetween(0, 6_000, true);
    assertThat(fixture.reset).isNotEmpty();
    for (Opening opening : all) {
      assertThat(opening.forwards).isAtMost(AdmissionFixture.POLICY.overload().maxPlacements());
    }
    assertThat(forwards(all)).isLessThan(2 * all.size());
  }

  @Test
  void openingsReachTheOnlyTargetThatAdmitsThem() {
    setLimits(ADMITTED_RANK);
    limits[5] = SchedulingTerms.ADMIT_ALL;
    run(2_000);
    List<Opening> all = openingsBetween(REPORT_INTERVAL_MS, 2_000, true);
    assertThat(admittedFraction(all, 0)).isEqualTo(1.0);
    assertThat(forwards(all)).isEqualTo(all.size());
  }
}
