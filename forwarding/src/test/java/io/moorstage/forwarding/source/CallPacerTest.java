package io.moorstage.forwarding.source;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class CallPacerTest {
  private final CallPacer pacer = new CallPacer();
  private long nowMs = 10_000;

  private long call() {
    long delayMs = pacer.reserveDelayMs(nowMs);
    nowMs += delayMs;
    return delayMs;
  }

  @Test
  void firstCallsAfterAnIdleTimeAreNotDelayed() {
    for (int i = 0; i < CallPacer.BURST; i++) {
      assertThat(call()).isEqualTo(0);
    }
    nowMs += CallPacer.BURST * CallPacer.INTERVAL_MS;
    assertThat(call()).isEqualTo(0);
  }

  @Test
  void rateOfCallsIsLimitedWhileChangesKeepComing() {
    long startedAtMs = nowMs;
    int calls = 0;
    while (nowMs < startedAtMs + 30_000) {
      call();
      calls++;
      nowMs += 10;
    }
    assertThat(calls).isAtMost(CallPacer.BURST + 30_000 / CallPacer.INTERVAL_MS + 1);
  }

  @Test
  void noCallIsDelayedByMoreThanTheInterval() {
    for (int i = 0; i < 50; i++) {
      assertThat(call()).isAtMost((long) CallPacer.INTERVAL_MS);
    }
  }
}
