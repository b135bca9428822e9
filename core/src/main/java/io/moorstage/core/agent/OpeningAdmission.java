package io.moorstage.core.agent;

import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.state.TargetPhase;
import javax.annotation.Nullable;

/**
 * The agent's rule for new flows: may the target get this one, and if not, why? Guarded by the lock
 * of {@link FlowAgent}.
 *
 * <p>Inputs: what balancers report of the target (phase, evacuation, cold start), as of a revision
 * of the source and at most a beacon's period old; the terms that come with the segment (service,
 * configuration, whether its balancer insists); and what the agent has seen itself (a process that
 * has ended, an ejection as an outlier, the openings of the last second).
 *
 * <p>The first of these reasons that holds refuses: the process has ended; the target is ejected as
 * an outlier; the flow is another service's; its balancer goes by an older configuration than one
 * that has had an effect here; the target is leaving; its zone is evacuated; it is cold and bears
 * no more. The agent is the last to decide, so what it knows holds for all balancers: those that
 * are behind get their openings back and place them again. So no packet reaches another service,
 * and no leaving target or evacuated zone gets new work, however slow the slowest balancer is.
 */
final class OpeningAdmission {
  private final String service;
  private final TargetLiveness liveness;
  private final OutlierDetector outliers;
  private final ColdStartLimit coldLimit;
  private final boolean rejectsOutliers;
  private long configurationVersion;
  private TargetPhase phase = TargetPhase.READY;
  private boolean evacuated;
  private long revision;
  private long startNumber;

  OpeningAdmission(
      ForwardingPolicy policy,
      String service,
      TargetLiveness liveness,
      OutlierDetector outliers,
      long nowMs) {
    this.service = service;
    this.liveness = liveness;
    this.outliers = outliers;
    this.coldLimit = new ColdStartLimit(nowMs);
    this.rejectsOutliers =
        policy.uses(Mechanism.OUTLIER_REFUSAL) && policy.uses(Mechanism.OUTLIER_DETECTION);
  }

  /** Takes what a balancer reports of the target; false if something newer is known. */
  boolean update(TargetReport report, long nowMs) {
    if (report.revision() < revision) {
      return false;
    }
    revision = report.revision();
    phase = mergedPhase(report);
    startNumber = report.startNumber();
    evacuated = report.evacuated();
    coldLimit.update(report, nowMs);
    return true;
  }

  // A balancer that has just started may have read a source that has come back from an older copy,
  // and report a leaving target as ready until the target has written again.
  private TargetPhase mergedPhase(TargetReport report) {
    boolean revertsDraining = phase == TargetPhase.DRAINING && report.phase() == TargetPhase.READY;
    return revertsDraining && report.startNumber() == startNumber ? phase : report.phase();
  }

  TargetPhase phase() {
    return phase;
  }

  boolean isEvacuated() {
    return evacuated;
  }

  /** Returns the newest configuration that has had an effect here. */
  long configurationVersion() {
    return configurationVersion;
  }

  /** Returns why an opening must not reach the target, or null if it may; counts it if so. */
  @Nullable
  GiveBackReason rejectionReason(ForwardTerms terms, long nowMs) {
    if (liveness.hasEnded()) {
      return GiveBackReason.ENDED;
    }
    if (isRejectedAsOutlier(terms, nowMs)) {
      return GiveBackReason.UNFIT;
    }
    if (!terms.service().equals(service)) {
      return GiveBackReason.OTHER_SERVICE;
    }
    if (terms.configurationVersion() < configurationVersion) {
      return GiveBackReason.OLD_CONFIGURATION;
    }
    configurationVersion = terms.configurationVersion();
    if (phase != TargetPhase.READY) {
      return GiveBackReason.LEAVING;
    }
    if (evacuated) {
      return GiveBackReason.EVACUATED;
    }
    return coldLimit.tryAdmit(terms.coldOpeningsPerS(), nowMs) ? null : GiveBackReason.COLD;
  }

  // Where most targets of a service are ejected, its balancer insists: the fault may lie elsewhere.
  private boolean isRejectedAsOutlier(ForwardTerms terms, long nowMs) {
    boolean mayReject = rejectsOutliers && !terms.insists() && outliers.isEjected();
    return mayReject && !outliers.tryAdmit(terms.repeatable(), nowMs);
  }
}
