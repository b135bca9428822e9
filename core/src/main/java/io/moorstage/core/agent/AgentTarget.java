package io.moorstage.core.agent;

import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;

/**
 * An agent's state of its target, from the reports of balancers and from the segments and checks of
 * the target itself. Guarded by the lock of {@link FlowAgent}.
 */
final class AgentTarget {
  private final DecisionLog log;
  private final TargetIncarnation incarnation = new TargetIncarnation();
  private final TargetLiveness liveness = new TargetLiveness();
  private final OutlierDetector outliers = new OutlierDetector();
  private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
  private final OpeningAdmission admission;
  private final boolean reportsOutliers;

  AgentTarget(ForwardingPolicy policy, String service, DecisionLog log, long nowMs) {
    this.log = log;
    this.admission = new OpeningAdmission(policy, service, liveness, outliers, nowMs);
    this.reportsOutliers = policy.uses(Mechanism.OUTLIER_DETECTION);
  }

  /**
   * Applies a balancer's report; returns false and ignores it if a newer one was applied before.
   */
  boolean update(TargetReport report, long nowMs) {
    if (!admission.update(report, nowMs)) {
      return false;
    }
    if (incarnation.update(report.startNumber(), report.predecessorListedReady())) {
      liveness.markAlive();
      outliers.reset();
      serviceTimes.reset();
    }
    serviceTimes.setCapacity(report.capacity(), nowMs);
    return true;
  }

  /** Returns the estimate of the target's service time. */
  ServiceTimeEstimator serviceTimes() {
    return serviceTimes;
  }

  /** Returns the admission of new flows. */
  OpeningAdmission admission() {
    return admission;
  }

  /** Returns whether the target is ejected or being probed. */
  boolean isEjected() {
    return reportsOutliers && outliers.isEjected();
  }

  /**
   * Returns whether balancers are to send the target no new flows because of an ejection.
   *
   * @param hasPlace whether an opening would be delivered at once
   */
  boolean isClosedByEjection(boolean hasPlace, long nowMs) {
    return reportsOutliers && admission.isClosedByEjection(hasPlace, nowMs);
  }

  /** Returns the mean time from a request to its response, in milliseconds; 0 if not known. */
  double meanResponseMs() {
    return liveness.meanResponseMs();
  }

  /** Returns whether the target's process has ended and has shown no activity since. */
  boolean hasEnded() {
    return liveness.hasEnded();
  }

  /** Returns whether the target most likely started after the agent. */
  boolean startedAfterAgent() {
    return incarnation.startedAfterAgent();
  }

  /** Records that the target was sent a segment that it has to respond to. */
  void onDelivered(long nowMs) {
    liveness.onDelivered(nowMs);
  }

  /** Records that the target runs, since it has sent a segment. */
  void markAlive() {
    liveness.markAlive();
  }

  /** Records that the target has sent a segment of a flow that the agent has no entry for. */
  void onUnknownFlow() {
    incarnation.onUnknownFlow();
  }

  /** Records the target's response to a flow's request in progress. */
  void onResponse(AgentFlow flow, long nowMs) {
    liveness.recordResponse(nowMs - flow.busySinceMs());
    serviceTimes.recordAnswer(flow, nowMs);
    outliers.recordSuccess(nowMs);
  }

  /** Records that the target has broken off a flow's request whose client still waits. */
  void onRequestBrokenOff(AgentFlow flow, long nowMs) {
    if (outliers.recordFailure(nowMs)) {
      logEjection(flow, "broken-off", nowMs);
    }
  }

  /**
   * Ejects the target if it has stalled, judged by the flow with the oldest request in progress.
   */
  void detectStall(AgentFlow oldest, long nowMs) {
    if (outliers.detectStall(oldest.busySinceMs(), liveness.meanResponseMs(), nowMs)) {
      logEjection(oldest, "stalled", nowMs);
    }
  }

  private void logEjection(AgentFlow flow, String reason, long nowMs) {
    long ageMs = nowMs - flow.busySinceMs();
    log.decided(Decision.TARGET_UNFIT, flow.id(), flow.balancerAddress(), reason, ageMs);
  }

  /** Returns whether a check of the target's process is due, and if so schedules the next one. */
  boolean pollDueCheck(long nowMs) {
    return liveness.pollDueCheck(nowMs);
  }

  /** Evaluates the result of a check; returns whether it shows that the target has ended. */
  boolean onCheckResult(boolean refused, long nowMs) {
    return liveness.onCheckResult(refused, nowMs);
  }
}
