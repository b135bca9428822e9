package io.moorstage.forwarding.peer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LoadReportScheduleTest {
  private static final int BALANCER = 7;
  private static final int PERIOD_MS = 500;

  private final LoadReportSchedule schedule = new LoadReportSchedule();

  private boolean markSentIfDue(int busyFlows, long nowMs) {
    return schedule.markSentIfDue(BALANCER, busyFlows, PERIOD_MS, nowMs);
  }

  @Test
  void newBalancerGetsABeaconAtOnceAndThenRegularly() {
    assertThat(markSentIfDue(0, 0)).isTrue();
    assertThat(markSentIfDue(0, 480)).isFalse();
    assertThat(markSentIfDue(0, 500)).isTrue();
  }

  @Test
  void changedLoadIsReportedBeforeTheNextRegularBeacon() {
    markSentIfDue(0, 0);
    assertThat(markSentIfDue(1, 80)).isFalse();
    assertThat(markSentIfDue(1, 100)).isTrue();
    assertThat(markSentIfDue(1, 200)).isFalse();
  }

  @Test
  void beaconsKeepTheIntervalThatABalancerOfManyAgentsRequests() {
    markSentIfDue(0, 0);
    schedule.setMinInterval(BALANCER, 2_380);
    assertThat(markSentIfDue(1, 2_000)).isFalse();
    assertThat(markSentIfDue(1, 2_380)).isTrue();
  }
}
