package io.moorstage.forwarding.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a flood of one event, for example one per datagram, that uses up the log's limit
 * of lines per second and so displaces the lines of other events.
 */
class ThrottledEventTest {
  private static final long START_MS = 5_000;

  private final EventLog log = new EventLog("node");
  private final ThrottledEvent event = new ThrottledEvent(log, "send-failed");

  @Test
  void firstOccurrenceIsLoggedImmediately() {
    assertThat(event.countOccurrence(START_MS)).isEqualTo(1);
  }

  @Test
  void floodIsLoggedAsOneLinePerSecondWithItsCount() {
    event.countOccurrence(START_MS);
    for (int i = 0; i < 500; i++) {
      assertThat(event.countOccurrence(START_MS + 1 + i)).isEqualTo(0);
    }
    assertThat(event.countOccurrence(START_MS + ThrottledEvent.INTERVAL_MS)).isEqualTo(501);
  }

  @Test
  void floodCausesNoDroppedLines() {
    for (int i = 0; i < 10_000; i++) {
      event.record(0x0A000001, "no route", START_MS);
    }
    assertThat(log.droppedLines()).isEqualTo(0);
  }
}
