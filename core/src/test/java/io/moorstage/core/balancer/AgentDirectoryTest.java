package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.message.AgentReport;
import org.junit.jupiter.api.Test;

/** Tests when a balancer takes all its agents for lost, and when one of them for unresponsive. */
class AgentDirectoryTest {
  private static final int A = 0x0A010010;
  private static final int B = 0x0A010011;
  private static final int PERIOD_MS = 1_000;

  /** When the entry of an agent is evicted that has announced its stop after 100 ms. */
  private static final long EVICTED_AT_MS = 100 + Fleet.POLICY.retention().goneTargetMs() + 1;

  private static final AgentReport STOPPING =
      new AgentReport(A, Fleet.SERVICE, Fleet.ZONE, 0, true, false, false);

  private static final int TIMEOUT_MS = Fleet.POLICY.search().agentTimeoutMs();
  private static final int RESPONSE_TIMEOUT_MS = Fleet.POLICY.search().responseTimeoutMs();

  private final AgentDirectory agents = new AgentDirectory(Fleet.POLICY);

  @Test
  void balancerThatHasHeardOfNoAgentHasLostNone() {
    assertThat(agents.hasLostAll(PERIOD_MS, 5_000)).isFalse();
  }

  // Guards against an isolated balancer that counts as ready again though no agent is left: the
  // entries of agents that had announced their stop were evicted.
  @Test
  void agentsStayLostWhenTheirEntriesAreEvicted() {
    agents.recordReport(Fleet.agent(A), 0);
    agents.recordReport(STOPPING, 100);
    assertThat(agents.hasLostAll(PERIOD_MS, 1_200)).isTrue();
    agents.sweep(EVICTED_AT_MS);
    assertThat(agents.get(A)).isNull();
    assertThat(agents.hasLostAll(PERIOD_MS, EVICTED_AT_MS + 100)).isTrue();

    agents.recordReport(Fleet.agent(A), EVICTED_AT_MS + 700);
    assertThat(agents.hasLostAll(PERIOD_MS, EVICTED_AT_MS + 800)).isFalse();
  }

  @Test
  void agentThatHasAnnouncedItsStopIsLostAtOnce() {
    agents.recordReport(Fleet.agent(A), 0);
    agents.recordReport(STOPPING, 100);
    assertThat(agents.hasLostAll(PERIOD_MS, 100)).isTrue();
    assertThat(agents.isActive(A, 100)).isFalse();
    assertThat(agents.activeCount(100)).isEqualTo(0);
  }

  // Guards against the reset of an open flow whose target is not listed while its agent restarts:
  // the agent was evicted within a second of its announcement, so that searches did not query it.
  @Test
  void agentThatHasAnnouncedItsStopIsKnownForItsRetentionPeriod() {
    agents.recordReport(STOPPING, 100);
    agents.sweep(EVICTED_AT_MS - 1);
    assertThat(agents.get(A)).isNotNull();
    agents.sweep(EVICTED_AT_MS);
    assertThat(agents.get(A)).isNull();
  }

  // ---- unresponsive agents ----

  private void queryA(int... timesMs) {
    for (int timeMs : timesMs) {
      agents.recordQuery(A, timeMs);
    }
  }

  private void queryAndAnswerB(int timeMs) {
    agents.recordQuery(B, timeMs);
    agents.recordResponse(B);
  }

  private boolean isUnresponsiveAt(int timeMs) {
    return agents.isUnresponsive(A, timeMs);
  }

  @Test
  void agentIsUnresponsiveThatAnswersNoQueryForTheTimeout() {
    queryA(0, 1_000, TIMEOUT_MS + 1);
    queryAndAnswerB(TIMEOUT_MS + 1);
    assertThat(isUnresponsiveAt(TIMEOUT_MS + 1 + RESPONSE_TIMEOUT_MS)).isTrue();
  }

  @Test
  void agentHasTheResponseTimeoutForItsLastQuery() {
    queryA(0, 1_000, TIMEOUT_MS + 1);
    queryAndAnswerB(TIMEOUT_MS + 1);
    assertThat(isUnresponsiveAt(TIMEOUT_MS + RESPONSE_TIMEOUT_MS)).isFalse();
  }

  // A balancer that reads no input would take all agents for unresponsive.
  @Test
  void agentIsNotUnresponsiveUntilAnotherOneHasAnsweredAQueryOfTheSameTime() {
    queryA(0, 1_000, TIMEOUT_MS + 1, 5_000);
    queryAndAnswerB(TIMEOUT_MS);
    assertThat(isUnresponsiveAt(10_000)).isFalse();
    queryAndAnswerB(TIMEOUT_MS + 1);
    assertThat(isUnresponsiveAt(10_000)).isTrue();
  }

  // A response that is read late may be to the first of several queries.
  @Test
  void responseCountsAsOneToTheFirstUnansweredQuery() {
    queryA(0, 1_000, TIMEOUT_MS + 1);
    agents.recordQuery(B, 100);
    queryAndAnswerB(TIMEOUT_MS + 1);
    assertThat(isUnresponsiveAt(10_000)).isFalse();
  }

  // A balancer that reads 2 s late has sent further queries when it reads the answers to the first.
  @Test
  void responsesThatAreReadLateCountAsThoseToTheFirstQueries() {
    agents.recordQuery(B, 0);
    agents.recordQuery(B, 10);
    queryA(100, 1_000);
    agents.recordResponse(B);
    queryA(101 + TIMEOUT_MS);
    agents.recordQuery(B, 101 + TIMEOUT_MS);
    agents.recordResponse(B);
    assertThat(isUnresponsiveAt(5_000)).isFalse();
    agents.recordResponse(B);
    assertThat(isUnresponsiveAt(5_000)).isTrue();
  }

  // Otherwise one lost answer would keep all later ones from counting.
  @Test
  void lostResponseIsForgotten() {
    agents.recordQuery(B, 0);
    queryA(20_000, 21_000, 20_001 + TIMEOUT_MS);
    queryAndAnswerB(20_001 + TIMEOUT_MS);
    assertThat(isUnresponsiveAt(30_000)).isTrue();
  }

  // The agent may have been unavailable for a moment, and nothing asked it since.
  @Test
  void queriesWithinLessThanTheTimeoutDoNotMakeAnAgentUnresponsive() {
    queryA(0, 100, 200, TIMEOUT_MS);
    queryAndAnswerB(10_000);
    assertThat(isUnresponsiveAt(10_100)).isFalse();
  }

  // Queries about several flows at a time are lost together.
  @Test
  void queriesSentTogetherCountAsOne() {
    queryA(0, 0, 0, RESPONSE_TIMEOUT_MS - 1, TIMEOUT_MS + 1, TIMEOUT_MS + 1);
    queryAndAnswerB(TIMEOUT_MS + 1);
    assertThat(isUnresponsiveAt(10_000)).isFalse();
  }

  @Test
  void responseOrBeaconOfAnAgentEndsItsSilence() {
    queryA(0, 1_000, TIMEOUT_MS + 1);
    queryAndAnswerB(TIMEOUT_MS + 1);
    agents.recordResponse(A);
    assertThat(isUnresponsiveAt(10_000)).isFalse();

    queryA(20_000, 21_000, 20_001 + TIMEOUT_MS);
    queryAndAnswerB(20_001 + TIMEOUT_MS);
    assertThat(isUnresponsiveAt(30_000)).isTrue();
    agents.recordReport(Fleet.agent(A), 30_000);
    assertThat(isUnresponsiveAt(40_000)).isFalse();
  }

  @Test
  void stoppedAgentIsUnresponsiveIfItLeavesOneQueryUnansweredAfterTheTimeout() {
    agents.recordReport(STOPPING, 0);
    queryAndAnswerB(TIMEOUT_MS + 1);
    assertThat(isUnresponsiveAt(10_000)).isFalse();
    queryA(TIMEOUT_MS + 1);
    assertThat(isUnresponsiveAt(10_000)).isTrue();
  }
}
