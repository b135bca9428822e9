package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServiceTimeEstimatorTest {
  private final ServiceTimeEstimator estimator = new ServiceTimeEstimator();
  private long nowMs = 1_000;
  private int nextPort = 1;

  @BeforeEach
  void setCapacity() {
    estimator.setCapacity(1, nowMs);
  }

  private AgentFlow begin() {
    AgentFlow flow = AgentFlow.ofEarlierProcess(Fleet.flow(nextPort++), nowMs);
    flow.beginRequest(nowMs);
    estimator.begin(flow, nowMs);
    return flow;
  }

  private void answer(AgentFlow flow) {
    estimator.recordAnswer(flow, nowMs);
    estimator.end(flow, nowMs);
  }

  private void serve(int count, int timeMs) {
    for (int i = 0; i < count; i++) {
      AgentFlow flow = begin();
      nowMs += timeMs;
      answer(flow);
    }
  }

  @Test
  void estimateIsUnknownBelowFiveAnswersAndAfterARestart() {
    serve(4, 20);
    assertThat(estimator.meanMs(nowMs)).isZero();
    serve(1, 20);
    assertThat(estimator.meanMs(nowMs)).isWithin(0.01).of(20);
    estimator.reset();
    assertThat(estimator.meanMs(nowMs)).isZero();
  }

  // Otherwise a loaded target looks slow although it works at full speed.
  @Test
  void timeInTheTargetsOwnQueueDoesNotCount() {
    AgentFlow inWork = begin();
    for (int i = 0; i < 50; i++) {
      AgentFlow next = begin();
      nowMs += 20;
      answer(inWork);
      inWork = next;
    }
    assertThat(estimator.meanMs(nowMs)).isWithin(0.01).of(20);
  }

  // Otherwise a target whose clients leave early, or which rejects requests, looks fast.
  @Test
  void requestsWithoutAnAnswerDoNotMakeTheTargetLookFast() {
    serve(50, 20);
    for (int i = 0; i < 500; i++) {
      AgentFlow broken = begin();
      AgentFlow rejected = begin();
      nowMs += 1;
      answer(rejected);
      estimator.end(broken, nowMs);
      estimator.end(rejected, nowMs);
    }
    assertThat(estimator.meanMs(nowMs)).isAtLeast(20.0);
  }

  // Otherwise a target that answers requests with errors at once attracts all others.
  @Test
  void targetThatOnlyRejectsRequestsHasNoEstimate() {
    serve(150, 20);
    serve(149, 1);
    assertThat(estimator.meanMs(nowMs)).isWithin(0.01).of(20);
    serve(1, 1);
    assertThat(estimator.meanMs(nowMs)).isZero();
    serve(1, 20);
    assertThat(estimator.meanMs(nowMs)).isAtLeast(20.0);
  }

  // Otherwise the normal answers of a target that was slow for 150 answers count as rejections.
  @Test
  void targetThatRecoversFromALongSlowPhaseIsNotTakenForOneThatRejectsRequests() {
    serve(150, 20);
    serve(300, 400);
    serve(150, 20);
    assertThat(estimator.meanMs(nowMs)).isWithin(5.0).of(20);
  }

  // Otherwise a client that waits for an event makes its target look slow.
  @Test
  void requestWithoutEndDoesNotRaiseTheEstimateWhileOthersAreAnswered() {
    estimator.setCapacity(4, nowMs);
    serve(100, 20);
    begin();
    serve(100, 20);
    assertThat(estimator.meanMs(nowMs)).isWithin(5.0).of(20);
  }

  // Otherwise a target that does not serve in order of arrival looks slower than it is.
  @Test
  void requestThatOvertakesAnotherCountsAsServedInItsPlace() {
    AgentFlow first = begin();
    for (int i = 0; i < 50; i++) {
      AgentFlow second = begin();
      nowMs += 20;
      answer(second);
    }
    answer(first);
    assertThat(estimator.meanMs(nowMs)).isWithin(0.5).of(20);
  }

  @Test
  void targetThatStopsAnsweringLooksSlowBeforeItsNextAnswer() {
    serve(100, 20);
    begin();
    nowMs += 500;
    assertThat(estimator.meanMs(nowMs)).isAtLeast(60.0);
  }

  @Test
  void fiveRequestsShowThatTheTargetBecameFiveTimesSlowerOrFaster() {
    serve(100, 20);
    serve(5, 100);
    assertThat(estimator.meanMs(nowMs)).isAtLeast(80.0);
    serve(5, 20);
    assertThat(estimator.meanMs(nowMs)).isAtMost(25.0);
  }
}
