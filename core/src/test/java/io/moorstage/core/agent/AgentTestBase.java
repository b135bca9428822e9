package io.moorstage.core.agent;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.state.TargetPhase;

/** Sets up an agent, and sends it segments and reports in place of balancers and its target. */
abstract class AgentTestBase {
  static final int CAPACITY = 2;
  static final int SPARE = 2;
  static final int TIMEOUT_MS = 3_000;
  static final int COLD_START_MS = 2_000;

  final Fleet.RecordingAgentActions actions = new Fleet.RecordingAgentActions();
  final FlowAgent agent = new FlowAgent(Fleet.POLICY, Fleet.SERVICE, actions, DecisionLog.NONE, 0);
  long nowMs = 1_000;
  int coldOpeningsPerS;
  boolean repeatable = true;
  boolean overridesEjection;
  int nextPort = 10_000;

  void forward(Segment segment) {
    forward(segment, Fleet.SERVICE, 1);
  }

  void forward(Segment segment, String service, long version) {
    forward(segment, service, version, TIMEOUT_MS);
  }

  void forward(Segment segment, String service, long version, int timeoutMs) {
    ForwardTerms terms =
        new ForwardTerms(
            service, version, timeoutMs, coldOpeningsPerS, repeatable, overridesEjection);
    agent.onForwarded(Fleet.BALANCER, terms, segment, Fleet.bytes(segment), nowMs);
  }

  boolean reportTarget(TargetPhase phase, boolean evacuated, long revision) {
    return agent.onTargetReport(
        new TargetReport(revision, phase, evacuated, CAPACITY, 5, false, 0, COLD_START_MS), nowMs);
  }

  void receiveFromTarget(Segment segment) {
    agent.onTargetSegment(segment, Fleet.bytes(segment), nowMs);
  }

  void openFlow(int port) {
    forward(Fleet.open(Fleet.flow(port), 0));
    receiveFromTarget(Fleet.accepted(Fleet.flow(port)));
  }

  void respond(int port) {
    receiveFromTarget(Fleet.data(Fleet.flow(port), 2, 100));
  }
}
