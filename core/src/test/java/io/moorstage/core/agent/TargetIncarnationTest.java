package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class TargetIncarnationTest {
  private final TargetIncarnation incarnation = new TargetIncarnation();

  @Test
  void targetThatTookOverFromOneThatDiedHasStartedBesideTheAgent() {
    incarnation.update(5, true);
    assertThat(incarnation.startedAfterAgent()).isTrue();
    incarnation.update(5, false);
    assertThat(incarnation.startedAfterAgent()).isTrue();
  }

  @Test
  void targetThatTheAgentMeetsMayHaveRunForLong() {
    incarnation.update(5, false);
    assertThat(incarnation.startedAfterAgent()).isFalse();
  }

  // A balancer that is behind may name the one before it first.
  @Test
  void targetThatWasListedAfterAnotherMayHaveRunForLong() {
    incarnation.update(5, false);
    incarnation.update(0, false);
    incarnation.update(6, false);
    assertThat(incarnation.startedAfterAgent()).isFalse();
  }

  @Test
  void targetThatSendsSegmentsOfAnUnknownFlowHasNot() {
    incarnation.update(5, true);
    incarnation.onUnknownFlow();
    assertThat(incarnation.startedAfterAgent()).isFalse();
  }
}
