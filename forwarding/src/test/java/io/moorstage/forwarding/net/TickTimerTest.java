package io.moorstage.forwarding.net;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against periodic tasks that are skipped, or run several times in a row after a delay. */
class TickTimerTest {
  private static final int PERIOD_MS = 500;

  private final TickTimer timer = new TickTimer();

  @Test
  void firstTickIsDue() {
    assertThat(timer.restartIfDue(PERIOD_MS, 1)).isTrue();
  }

  @Test
  void nextRunIsDueAfterThePeriod() {
    timer.restartIfDue(PERIOD_MS, 1_000);
    assertThat(timer.restartIfDue(PERIOD_MS, 1_499)).isFalse();
    assertThat(timer.restartIfDue(PERIOD_MS, 1_500)).isTrue();
  }

  @Test
  void lateRunStartsANewPeriodWithoutExtraRuns() {
    timer.restartIfDue(PERIOD_MS, 1_000);
    assertThat(timer.restartIfDue(PERIOD_MS, 2_400)).isTrue();
    assertThat(timer.restartIfDue(PERIOD_MS, 2_500)).isFalse();
    assertThat(timer.restartIfDue(PERIOD_MS, 2_900)).isTrue();
  }
}
