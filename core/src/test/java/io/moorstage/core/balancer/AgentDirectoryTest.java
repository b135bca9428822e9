package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.message.AgentReport;
import org.junit.jupiter.api.Test;

/** Tests when a balancer takes all its agents for lost. */
class AgentDirectoryTest {
  private static final int A = 0x0A010010;
  private static final int PERIOD_MS = 1_000;

  /** When the entry of an agent is evicted that has announced its stop after 100 ms. */
  private static final long EVICTED_AT_MS = 100 + Fleet.POLICY.retention().goneTargetMs() + 1;

  private static final AgentReport STOPPING =
      new AgentReport(A, Fleet.SERVICE, Fleet.ZONE, 0, true, false, false);

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
}
