package io.moorstage.forwarding.state;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RevisionGapsTest {
  private final RevisionGaps gaps = new RevisionGaps();

  @Test
  void gapDoesNotContainItsEnds() {
    gaps.add(3, 6);
    assertThat(gaps.contains(3)).isFalse();
    assertThat(gaps.contains(4)).isTrue();
    assertThat(gaps.contains(5)).isTrue();
    assertThat(gaps.contains(6)).isFalse();
  }

  @Test
  void statesWithoutRevisionsBetweenThemLeaveNoGap() {
    gaps.add(3, 4);
    gaps.add(4, 4);
    gaps.add(4, 2);
    assertThat(gaps.count()).isEqualTo(0);
  }

  @Test
  void gapIsRemovedOnceItsEndIsReached() {
    gaps.add(3, 6);
    gaps.removeUntil(5);
    assertThat(gaps.contains(4)).isTrue();
    gaps.removeUntil(6);
    assertThat(gaps.contains(4)).isFalse();
  }

  // Each state is two revisions after the previous one, so every other revision lies in a gap.
  @Test
  void oldestGapsAreJoinedBeyondTheMaximumAndNoRevisionIsLost() {
    int states = 1_000;
    for (long state = 0; state < states; state++) {
      gaps.add(2 * state + 1, 2 * state + 3);
    }
    assertThat(gaps.count()).isAtMost(RevisionGaps.MAX_GAPS);
    for (long state = 0; state < states; state++) {
      assertThat(gaps.contains(2 * state + 2)).isTrue();
    }
    long newest = 2L * states + 1;
    assertThat(gaps.contains(newest)).isFalse();
    assertThat(gaps.contains(newest - 2)).isFalse();
  }
}
