package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when a target counts as started after its agent. */
class TargetIncarnationTest {
  private final TargetIncarnation incarnation = new TargetIncarnation();

  @Test
  void targetWhosePredecessorIsListedAsReadyStartedAfterTheAgent() {
    incarnation.update(5, true);
    assertThat(incarnation.startedAfterAgent()).isTrue();
    incarnation.update(5, false);
    assertThat(incarnation.startedAfterAgent()).isTrue();
  }

  @Test
  void targetOfTheFirstReportMayHaveStartedBeforeTheAgent() {
    incarnation.update(5, false);
    assertThat(incarnation.startedAfterAgent()).isFalse();
  }

  // Guards against a wrong inference from a change of incarnation: a balancer with stale state may
  // first report the predecessor.
  @Test
  void targetThatWasListedAfterAnotherMayHaveStartedBeforeTheAgent() {
    incarnation.update(5, false);
    incarnation.update(0, false);
    incarnation.update(6, false);
    assertThat(incarnation.startedAfterAgent()).isFalse();
  }

  @Test
  void targetThatSendsSegmentsOfAnUnknownFlowStartedBeforeTheAgent() {
    incarnation.update(5, true);
    incarnation.onUnknownFlow();
    assertThat(incarnation.startedAfterAgent()).isFalse();
  }
}
