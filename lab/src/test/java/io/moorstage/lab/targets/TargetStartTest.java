package io.moorstage.lab.targets;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TargetStartTest {
  private static final int TARGETS = 6;
  private static final long FIRST_AT_MS = 1_796_273_983_830L;
  private static final int SPAN_MS = 50;

  // Two of six targets that started within 50 ms had the same sequence number, so that clients
  // attributed the responses of one to the other.
  @Test
  void startsOfSeveralTargetsWithin50MsHaveDistinctSequences() {
    Set<Integer> sequences = new HashSet<>();
    for (int target = 1; target <= TARGETS; target++) {
      String address = "127.78.2." + target;
      TargetStart start = TargetStart.of("t-" + address, "tables", address, "z", 4);
      for (int afterMs = 0; afterMs < SPAN_MS; afterMs++) {
        sequences.add(start.at(FIRST_AT_MS + afterMs).sequence());
      }
    }
    assertThat(sequences).hasSize(TARGETS * SPAN_MS);
  }
}
