package io.moorstage.forwarding.source;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SourceBackoffTest {
  private static final int SAMPLES = 2_000;

  private static int longestDelayAfter(int failuresBefore) {
    int longestMs = 0;
    for (int sample = 0; sample < SAMPLES; sample++) {
      SourceBackoff backoff = new SourceBackoff();
      for (int i = 0; i < failuresBefore; i++) {
        backoff.onFailure();
      }
      int delayMs = backoff.onFailure();
      assertThat(delayMs).isAtLeast(SourceBackoff.MIN_DELAY_MS);
      longestMs = Math.max(longestMs, delayMs);
    }
    return longestMs;
  }

  @Test
  void firstDelayIsBetweenThirtyAndNinetyMilliseconds() {
    assertThat(longestDelayAfter(0)).isLessThan(90);
  }

  @Test
  void rangeDoublesWithEachFailureUpToItsMaximum() {
    assertThat(longestDelayAfter(1)).isLessThan(150);
    assertThat(longestDelayAfter(2)).isLessThan(270);
    assertThat(longestDelayAfter(20)).isLessThan(630);
    assertThat(longestDelayAfter(20)).isAtLeast(500);
  }

  @Test
  void successResetsTheBackoff() {
    SourceBackoff backoff = new SourceBackoff();
    for (int sample = 0; sample < SAMPLES; sample++) {
      backoff.onFailure();
      backoff.onSuccess();
      assertThat(backoff.onFailure()).isLessThan(90);
      backoff.onSuccess();
    }
  }
}
