package io.moorstage.core.agent;

import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;

/**
 * What an agent knows of its target: what balancers report, and what it has seen itself. Guarded by
 * the lock of {@link FlowAgent}.
 */
final class AgentTarget {
  private final DecisionLog log;
  private final TargetIncarnation incarnation = new TargetIncarnation();
  private final TargetLiveness liveness = new TargetLiveness();
  private final OutlierDetector outliers = new OutlierDetector();
  private final OpeningAdmission admission;
  private final boolean reportsOutliers;

  AgentTarget(ForwardingPolicy policy, String service, DecisionLog log, long nowMs) {
    this.log = log;
    this.admission = new OpeningAdmission(policy, service, liveness, outliers, nowMs);
    this.reportsOutliers = policy.uses(Mechanism.OUTLIER_DETECTION);
  }

  /** Takes what a balancer reports; returns whether that is not older than what is known. */
  boolean onReport(TargetReport report, long nowMs) {
    if (!admission.update(report, nowMs)) {
      return false;
    }
    if (incarnation.update(report.startNumber(), report.tookOver())) {
      liveness.markAlive();
      outliers.reset();
    }
    return true;
  }

  /** Returns the rule for new flows. */
  OpeningAdmission admission() {
    return admission;
  }

  /** Returns whether balancers are to leave the target out of new flows. */
  boolean isUnfit() {
    return reportsOutliers && outliers.isEjected();
  }

  /** Returns whether the target's process has ended, and has not been seen again since. */
  boolean hasEnded() {
    return liveness.hasEnded();
  }

  /** Returns whether the target has most likely started no sooner than the agent. */
  boolean startedAfterAgent() {
    return incarnation.startedAfterAgent();
  }

  /** The target has been handed something that it answers. */
  void onDelivered(long nowMs) {
    liveness.onDelivered(nowMs);
  }

  /** The target has sent a segment. */
  void markAlive() {
    liveness.markAlive();
  }

  /** The target has sent a segment of a flow that the agent does not know. */
  void onUnknownFlow() {
    incarnation.onUnknownFlow();
  }

  /** The target answers a flow's request that was in progress. */
  void onAnswer(AgentFlow flow, long nowMs) {
    liveness.recordAnswer(nowMs - flow.busySinceMs());
    outliers.recordSuccess(nowMs);
  }

  /** The target has broken off a flow's request that its client waits for. */
  void onRequestBrokenOff(AgentFlow flow, long nowMs) {
    if (outliers.recordFailure(nowMs)) {
      logUnfit(flow, "broken-off", nowMs);
    }
  }

  /** Notices a target that has stalled, by its oldest request. */
  void detectStall(AgentFlow oldest, long nowMs) {
    if (outliers.detectStall(oldest.busySinceMs(), liveness.meanAnswerMs(), nowMs)) {
      logUnfit(oldest, "stalled", nowMs);
    }
  }

  private void logUnfit(AgentFlow flow, String reason, long nowMs) {
    long ageMs = nowMs - flow.busySinceMs();
    log.decided(Decision.TARGET_UNFIT, flow.id(), flow.balancerAddress(), reason, ageMs);
  }

  /** Returns whether to check now whether the target's process runs. */
  boolean pollDueCheck(long nowMs) {
    return liveness.pollDueCheck(nowMs);
  }

  /** Takes what a check has found; returns whether the target has turned out to have ended. */
  boolean onCheckResult(boolean refused, long nowMs) {
    return liveness.onCheckResult(refused, nowMs);
  }
}
