package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.AgentReport;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that a balancer which has missed messages, since they were lost or have not been read yet,
 * does not infer that a flow is lost.
 */
class UnprovenLossTest {
  private static final int HOLDER = 0x0A010010;
  private static final int SECOND = 0x0A010011;
  private static final int THIRD = 0x0A010012;
  private static final int FOURTH = 0x0A010013;
  private static final FlowId FLOW = Fleet.flow(1);
  private static final FlowId OTHER_FLOW = Fleet.flow(2);
  private static final int TICK_MS = 20;

  private final Fleet.RecordingBalancerActions actions = new Fleet.RecordingBalancerActions();
  private FlowBalancer balancer;
  private long nowMs = 100_000;
  private int answeredQueries;

  /** The agent that responds to no query; 0 if all do. */
  private int silentAgent;

  private void start(long startedAtMs) {
    balancer = new FlowBalancer(Fleet.POLICY, Fleet.ZONE, actions, DecisionLog.NONE, startedAtMs);
  }

  private void listTargets(long revision, int... addresses) {
    List<TargetRecord> targets = new ArrayList<>();
    for (int address : addresses) {
      targets.add(Fleet.target(address, TargetPhase.READY, 1));
    }
    balancer.onState(Fleet.state(revision, targets.toArray(new TargetRecord[0])), nowMs);
  }

  private void listHolderAsGone() {
    balancer.onState(
        Fleet.state(
            6,
            Fleet.target(HOLDER, TargetPhase.READY, 1).gone(6),
            Fleet.target(SECOND, TargetPhase.READY, 1),
            Fleet.target(THIRD, TargetPhase.READY, 1),
            Fleet.target(FOURTH, TargetPhase.READY, 1)),
        nowMs);
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

  private void reportStopping(int agent) {
    balancer.onAgentReport(
        new AgentReport(agent, Fleet.SERVICE, Fleet.ZONE, 0, true, false, false), nowMs);
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
      if (agent != silentAgent) {
        respond(agent, FLOW, agent == HOLDER ? FlowQueryResult.HELD : FlowQueryResult.NOT_HELD);
      }
    }
  }

  private void runTicks(int periodMs) {
    for (int passedMs = 0; passedMs < periodMs; passedMs += TICK_MS) {
      nowMs += TICK_MS;
      balancer.onTick(nowMs);
      respondToQueries();
    }
  }

  /**
   * Sends the retransmissions after 200, 600 and 1,400 ms, and ends when the next one is due, 3 s
   * after the first copy.
   */
  private void sendRetransmissions() {
    for (int intervalMs = 200; intervalMs < 1_600; intervalMs *= 2) {
      runTicks(intervalMs);
      sendData(FLOW, 101);
    }
    runTicks(1_600);
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

  // ---- a target that the source does not list ----

  // Guards against the reset of an open flow whose target the source does not list, by a balancer
  // that has missed the beacons of the target's agent for agentTimeoutMs. Agents send few beacons
  // to balancers of other zones.
  @Test
  void flowOfAnUnlistedTargetWhoseAgentHasBecomeInactiveIsNotReset() {
    start(0);
    listTargets(5, SECOND, THIRD, FOURTH);
    reportAgents(HOLDER, SECOND, THIRD, FOURTH);
    nowMs += Fleet.POLICY.search().agentTimeoutMs() + 1;
    reportAgents(SECOND, THIRD, FOURTH);
    sendData(FLOW, 101);
    respondToQueries();
    runTicks(Fleet.POLICY.search().durationMs());

    assertThat(actions.reset).isEmpty();
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
  }

  // As above, for an agent that restarts while its target runs.
  @Test
  void flowOfAnUnlistedTargetWhoseAgentRestartsIsNotReset() {
    start(0);
    listTargets(5, SECOND, THIRD, FOURTH);
    reportAgents(HOLDER, SECOND, THIRD, FOURTH);
    reportStopping(HOLDER);
    sendData(FLOW, 101);
    respondToQueries();

    assertThat(actions.reset).isEmpty();
  }

  // As above, with a flow that is searched for only after stale agents have been evicted.
  @Test
  void flowOfAnUnlistedTargetWhoseAgentRestartsIsNotResetAfterASweep() {
    start(0);
    listTargets(5, SECOND, THIRD, FOURTH);
    reportAgents(HOLDER, SECOND, THIRD, FOURTH);
    reportStopping(HOLDER);
    nowMs += 1_000;
    balancer.onSweep(nowMs);
    sendData(FLOW, 101);
    respondToQueries();

    assertThat(actions.reset).isEmpty();
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
  }

  // Guards against clients that wait longer than necessary for a machine which is lost with an
  // unlisted target: searches wait for its agent until it is unresponsive.
  @Test
  void lostFlowIsResetOnceTheAgentOfAnUnlistedTargetIsUnresponsive() {
    start(0);
    listTargets(5, SECOND, THIRD, FOURTH);
    reportAgents(HOLDER, SECOND, THIRD, FOURTH);
    silentAgent = HOLDER;
    sendData(FLOW, 101);
    sendRetransmissions();
    assertThat(actions.reset).isEmpty();

    sendData(FLOW, 101);
    runTicks(2 * Fleet.POLICY.search().responseTimeoutMs());
    assertThat(actions.reset).containsExactly(FLOW);
  }

  // Guards against the reset of an open flow whose target the source does not list, by a balancer
  // that has run for agentDiscoveryMs without reading a beacon. The time says nothing about the
  // agents that it knows if it had no processor meanwhile.
  @Test
  void flowOfAnUnlistedTargetIsNotResetByABalancerThatHasReadNoBeaconYet() {
    start(0);
    nowMs = 5_000;
    listTargets(5, SECOND, THIRD, FOURTH);
    sendData(FLOW, 101);
    respondToQueries();

    assertThat(actions.reset).isEmpty();
    nowMs += TICK_MS;
    reportAgents(HOLDER, SECOND, THIRD, FOURTH);
    respondToQueries();
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
  }

  // ---- a target that is gone ----

  // Guards against the reset of an open flow whose target the source has dropped during an outage.
  // One lost response of the target's agent, from the search for another flow, counted as the end
  // of the target, so that the agent was not queried.
  @Test
  void flowOfAGoneTargetWhoseAgentMissedOneQueryIsNotReset() {
    start(0);
    listTargets(5, HOLDER, SECOND, THIRD, FOURTH);
    reportAgents(HOLDER, SECOND, THIRD, FOURTH);
    sendData(OTHER_FLOW, 101);
    respond(SECOND, OTHER_FLOW, FlowQueryResult.HELD);
    answeredQueries = actions.queried.size();

    nowMs += Fleet.POLICY.search().agentTimeoutMs() + 1;
    reportAgents(SECOND, THIRD, FOURTH);
    listHolderAsGone();
    sendData(FLOW, 101);
    respondToQueries();
    runTicks(Fleet.POLICY.search().durationMs());

    assertThat(actions.reset).isEmpty();
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
  }

  // As above, for a balancer that has read no input for agentTimeoutMs, so that the queries of all
  // agents are without a response. That says nothing about the agent whose response was dropped.
  @Test
  void flowOfAGoneTargetIsNotResetByABalancerThatHasReadNoResponseSinceItsQueries() {
    start(0);
    listTargets(5, HOLDER, SECOND, THIRD, FOURTH);
    reportAgents(HOLDER, SECOND, THIRD, FOURTH);
    int queryIntervalMs = Fleet.POLICY.search().agentTimeoutMs() / 3;
    for (int port = 2; port < 5; port++) {
      sendData(Fleet.flow(port), 101);
      nowMs += queryIntervalMs;
    }
    answeredQueries = actions.queried.size();

    nowMs += TICK_MS;
    reportAgents(SECOND, THIRD, FOURTH);
    listHolderAsGone();
    sendData(FLOW, 101);
    respondToQueries();
    runTicks(Fleet.POLICY.search().durationMs());

    assertThat(actions.reset).isEmpty();
    assertThat(actions.lastForwardedTo()).isEqualTo(HOLDER);
  }

  // Guards against clients that wait longer than necessary for a lost machine whose target is gone.
  @Test
  void lostFlowIsResetOnceTheAgentOfAGoneTargetIsUnresponsive() {
    start(0);
    listTargets(5, HOLDER, SECOND, THIRD, FOURTH);
    reportAgents(HOLDER, SECOND, THIRD, FOURTH);
    silentAgent = HOLDER;
    listHolderAsGone();
    sendData(FLOW, 101);
    sendRetransmissions();
    assertThat(actions.reset).isEmpty();

    sendData(FLOW, 101);
    runTicks(2 * Fleet.POLICY.search().responseTimeoutMs());
    assertThat(actions.reset).containsExactly(FLOW);
  }

  // As above, for the next flow that is searched for: its search must not wait at all.
  @Test
  void searchDoesNotWaitForAGoneTargetWhoseAgentIsKnownToBeUnresponsive() {
    lostFlowIsResetOnceTheAgentOfAGoneTargetIsUnresponsive();
    int queryCount = actions.queried.size();
    sendData(FLOW, 101);
    respondToQueries();
    assertThat(actions.queried.subList(queryCount, actions.queried.size())).doesNotContain(HOLDER);
    assertThat(actions.reset).containsExactly(FLOW, FLOW);
  }
}
