package io.moorstage.forwarding.net;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against deferred start work that begins while the processor is still busy, or never begins
 * because the processor stays busy.
 */
class ProcessorLagTest {
  private final ProcessorLag lag = new ProcessorLag();

  private void recordRuns(int count, int delayMs) {
    for (int run = 0; run < count; run++) {
      lag.recordRun(delayMs);
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
    lag.recordRun(60);
    assertThat(lag.isLow()).isFalse();
    recordRuns(4, 0);
    assertThat(lag.isLow()).isTrue();
  }

  @Test
  void waitTimesOutIfTheLagNeverBecomesLow() throws Exception {
    lag.awaitLow(50);
    assertThat(lag.isLow()).isFalse();
  }
}
