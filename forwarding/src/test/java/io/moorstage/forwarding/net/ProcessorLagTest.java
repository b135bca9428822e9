package io.moorstage.forwarding.net;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against deferred start work that begins while the processor is still busy, or never begins
 * because the processor stays busy.
 */
class ProcessorLagTest {
  private static final long NOW_MS = 100_000;

  private final ProcessorLag lag = new ProcessorLag();

  private void recordRuns(int count, int delayMs) {
    for (int run = 0; run < count; run++) {
      lag.recordRun(delayMs, NOW_MS);
    }
  }

  @Test
  void lagIsLowOnlyAfterSeveralRunsOnTime() {
    assertThat(lag.isLow()).isFalse();
    recordRuns(3, 1);
    assertThat(lag.isLow()).isFalse();
    recordRuns(1, 1);
    assertThat(lag.isLow()).isTrue();
  }

  @Test
  void lateRunRestartsTheCount() {
    recordRuns(10, 0);
    lag.recordRun(60, NOW_MS);
    assertThat(lag.isLow()).isFalse();
    recordRuns(4, 0);
    assertThat(lag.isLow()).isTrue();
  }

  @Test
  void largestDelayIsReportedForTwoPeriodsAtMost() {
    lag.recordRun(300, NOW_MS);
    lag.recordRun(0, NOW_MS + 5_000);
    assertThat(lag.maxDelayMs()).isEqualTo(300);
    lag.recordRun(0, NOW_MS + 10_000);
    assertThat(lag.maxDelayMs()).isEqualTo(0);
  }

  @Test
  void waitTimesOutIfTheLagNeverBecomesLow() throws Exception {
    lag.awaitLow(50);
    assertThat(lag.isLow()).isFalse();
  }
}
