package io.moorstage.core.agent;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.state.TargetPhase;

/** An agent beside a target, and what balancers and the target send it. */
abstract class AgentTestBase {
  static final int CAPACITY = 2;
  static final int SPARE = 2;
  static final int TIMEOUT_MS = 3_000;
  static final int COLD_START_MS = 2_000;

  final Fleet.AgentRecord actions = new Fleet.AgentRecord();
  final FlowAgent agent = new FlowAgent(Fleet.POLICY, Fleet.SERVICE, actions, DecisionLog.NONE, 0);
  long nowMs = 1_000;
  int coldOpeningsPerS;
  boolean repeatable = true;
  boolean insists;
  int nextPort = 10_000;

  void forwarded(Segment segment) {
    forwarded(segment, Fleet.SERVICE, 1);
  }

  void forwarded(Segment segment, String service, long version) {
    forwarded(segment, service, version, TIMEOUT_MS);
  }

  void forwarded(Segment segment, String service, long version, int timeoutMs) {
    ForwardTerms terms =
        new ForwardTerms(service, version, timeoutMs, coldOpeningsPerS, repeatable, insists);
    agent.onForwarded(Fleet.BALANCER, terms, segment, Fleet.bytes(segment), nowMs);
  }

  boolean told(TargetPhase phase, boolean evacuated, long revision) {
    return agent.onTargetReport(
        new TargetReport(revision, phase, evacuated, CAPACITY, 5, false, 0, COLD_START_MS), nowMs);
  }

  void fromTarget(Segment segment) {
    agent.onTargetSegment(segment, Fleet.bytes(segment), nowMs);
  }

  void openFlow(int port) {
    forwarded(Fleet.open(Fleet.flow(port), 0));
    fromTarget(Fleet.accepted(Fleet.flow(port)));
  }

  void answer(int port) {
    fromTarget(Fleet.data(Fleet.flow(port), 2, 100));
  }
}
