package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.message.AgentReport;
import org.junit.jupiter.api.Test;

/** Tests when a balancer takes all its agents for lost. */
class AgentDirectoryTest {
  private static final int A = 0x0A010010;
  private static final int PERIOD_MS = 1_000;

  private final AgentDirectory agents = new AgentDirectory(Fleet.POLICY);

  @Test
  void balancerThatHasHeardOfNoAgentHasLostNone() {
    assertThat(agents.hasLostAll(PERIOD_MS, 5_000)).isFalse();
  }

  // Guards against an isolated balancer that counts as ready again though no agent is left: the
  // entries of agents that had announced their stop were evicted within a second.
  @Test
  void agentsStayLostWhenTheirEntriesAreEvicted() {
    agents.recordReport(Fleet.agent(A), 0);
    agents.recordReport(new AgentReport(A, Fleet.SERVICE, Fleet.ZONE, 0, true, false, false), 100);
    assertThat(agents.hasLostAll(PERIOD_MS, 1_200)).isTrue();
    agents.sweep(1_300);
    assertThat(agents.get(A)).isNull();
    assertThat(agents.hasLostAll(PERIOD_MS, 1_400)).isTrue();

    agents.recordReport(Fleet.agent(A), 2_000);
    assertThat(agents.hasLostAll(PERIOD_MS, 2_100)).isFalse();
  }
}
