package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.AgentReport;
import io.moorstage.core.message.FlowQueryResult;
import org.junit.jupiter.api.Test;

/**
 * Tests that a balancer which has missed messages, since they were lost or have not been read yet,
 * does not infer that a flow is lost.
 */
class UnprovenLossTest {
  private static final int HOLDER = 0x0A010010;
  private static final int SECOND = 0x0A010011;
  private static final int THIRD = 0x0A010012;
  private static final FlowId FLOW = Fleet.flow(1);
  private static final int TICK_MS = 20;

  private final Fleet.RecordingBalancerActions actions = new Fleet.RecordingBalancerActions();
  private FlowBalancer balancer;
  private long nowMs = 100_000;
  private int answeredQueries;

  private void start(long startedAtMs) {
    balancer = new FlowBalancer(Fleet.POLICY, Fleet.ZONE, actions, DecisionLog.NONE, startedAtMs);
  }

  private void reportAgents(int... agents) {
    for (int agent : agents) {
      balancer.onAgentReport(Fleet.agent(agent), nowMs);
    }
  }

  private void reportEnded(int agent) {
    balancer.onAgentReport(
        new AgentReport(agent, Fleet.SERVICE, Fleet.ZONE, 0, false, false, true), nowMs);
  }

  private void sendData(FlowId flow, int sequence) {
    Segment segment = Fleet.data(flow, sequence, 10);
    balancer.onClientSegment(segment, Fleet.bytes(segment), nowMs);
  }

  private void respond(int agent, FlowId flow, FlowQueryResult result) {
    balancer.onQueryResult(agent, flow, result, agent, nowMs);
  }

  /** Responds to each query once about {@link #FLOW}: only the agent of its target reports it. */
  private void respondToQueries() {
    while (answeredQueries < actions.queried.size()) {
      int agent = actions.queried.get(answeredQueries);
      answeredQueries++;
      respond(agent, FLOW, agent == HOLDER ? FlowQueryResult.HELD : FlowQueryResult.NOT_HELD);
    }
  }

  private void runTicks(int periodMs) {
    for (int passedMs = 0; passedMs < periodMs; passedMs += TICK_MS) {
      nowMs += TICK_MS;
      balancer.onTick(nowMs);
      respondToQueries();
    }
  }

  // ---- an agent that has reported the end of its target ----

  // Guards against the reset of an open flow of a target that has started at the address of an
  // ended one. The agent's earlier report of the end stays in force at a balancer of another zone,
  // which gets a beacon of the agent only now and then.
  @Test
  void flowOfATargetListedAfterTheReportedEndOfItsPredecessorIsNotReset() {
    start(0);
    balancer.onState(
        Fleet.state(
            5,
            Fleet.listed("predecessor", Fleet.SERVICE, HOLDER, 1),
            Fleet.listed("second", Fleet.SERVICE, SECOND, 1),
            Fleet.listed("third", Fleet.SERVICE, THIRD, 1)),
        nowMs);
    reportAgents(SECOND, THIRD);
    reportEnded(HOLDER);

    nowMs += 3_000;
    reportAgents(SECOND, THIRD);
    balancer.onState(
        Fleet.state(
            7,
            Fleet.listed("predecessor", Fleet.SERVICE, HOLDER, 1).gone(6),
            Fleet.listed("successor", Fleet.SERVICE, HOLDER, 7),
            Fleet.listed("second", Fleet.SERVICE, SECOND, 1),
            Fleet.listed("third", Fleet.SERVICE, THIRD, 1)),
        nowMs);
    sendData(FLOW, 101);
    respondToQueries();
    runTicks(Fleet.POLICY.search().durationMs());

    assertThat(actions.reset).isEmpty();
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
  }

  // As above, for a predecessor that the source did not list when its end was reported.
  @Test
  void flowOfATargetListedAfterTheReportedEndOfAnUnlistedOneIsNotReset() {
    start(0);
    balancer.onState(Fleet.state(5, Fleet.listed("second", Fleet.SERVICE, SECOND, 1)), nowMs);
    reportAgents(SECOND);
    reportEnded(HOLDER);
    balancer.onState(
        Fleet.state(
            7,
            Fleet.listed("successor", Fleet.SERVICE, HOLDER, 7),
            Fleet.listed("second", Fleet.SERVICE, SECOND, 1)),
        nowMs);
    sendData(FLOW, 101);
    respondToQueries();

    assertThat(actions.reset).isEmpty();
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
  }

  // Guards against searches that wait for the agent of an ended target: each newer state made the
  // balancer forget the report of the end.
  @Test
  void searchDoesNotWaitForTheAgentOfAnEndedTargetAfterANewerStateOfTheSameTargets() {
    start(0);
    for (int revision = 5; revision < 8; revision++) {
      balancer.onState(
          Fleet.state(
              revision,
              Fleet.listed("ended", Fleet.SERVICE, HOLDER, 1),
              Fleet.listed("second", Fleet.SERVICE, SECOND, 1)),
          nowMs);
      reportAgents(SECOND);
      if (revision == 5) {
        reportEnded(HOLDER);
      }
    }
    sendData(FLOW, 101);
    respondToQueries();

    assertThat(actions.queried).doesNotContain(HOLDER);
    assertThat(actions.reset).containsExactly(FLOW);
  }
}
