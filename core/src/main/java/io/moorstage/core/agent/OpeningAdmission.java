package io.moorstage.core.agent;

import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.state.TargetPhase;
import javax.annotation.Nullable;

/**
 * Admits new flows to the target, or rejects them with a reason. Guarded by the lock of {@link
 * FlowAgent}.
 *
 * <p>Inputs: the reports of balancers on the target (phase, evacuation, cold start), which refer to
 * a revision of the source and are at most one beacon period old; the terms that come with the
 * segment (service, configuration, whether the balancer overrides an ejection); and the agent's own
 * observations (the end of the process, an ejection as an outlier, the openings of the last
 * second).
 *
 * <p>The first of these conditions that holds rejects the flow: the process has ended; the target
 * is ejected as an outlier; the flow belongs to another service; the balancer uses an older
 * configuration than one already in effect here; the target is leaving; its zone is evacuated; it
 * is cold and at its limit of new flows. Every opening passes through the agent, so its decision
 * binds all balancers: a balancer with stale state is given its opening back and places it again.
 * Hence no packet reaches another service, and no leaving target or evacuated zone gets new flows,
 * however late a balancer receives the change.
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

  /**
   * Applies a balancer's report; returns false and ignores it if a newer one was applied before.
   */
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

  // A balancer that has just started may have read a source that was restored from an older copy.
  // It then reports a draining target as ready until the target has updated its entry.
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

  /** Returns the newest configuration version that the agent has applied to a new flow. */
  long configurationVersion() {
    return configurationVersion;
  }

  /**
   * Returns the reason to reject an opening, or null if it is admitted. An admitted opening counts
   * towards the limit of a cold target, and uses up the probe of an ejected one.
   */
  @Nullable
  GiveBackReason rejectionReason(ForwardTerms terms, long nowMs) {
    if (liveness.hasEnded()) {
      return GiveBackReason.ENDED;
    }
    // If most targets of a service are ejected, the cause may be outside the targets; the balancer
    // then overrides the ejection.
    boolean respectsEjection = rejectsOutliers && !terms.overridesEjection();
    if (respectsEjection && !outliers.mayAdmit(terms.repeatable(), nowMs)) {
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
    if (!coldLimit.tryAdmit(terms.coldOpeningsPerS(), nowMs)) {
      return GiveBackReason.COLD;
    }
    // Without the rejection of outliers too: otherwise no flow would end an ejection.
    if (!terms.overridesEjection() && outliers.mayAdmit(terms.repeatable(), nowMs)) {
      outliers.startProbe(nowMs);
    }
    return null;
  }

  /**
   * Returns whether an ejection rejects all openings that arrive now, also one that would be the
   * probe.
   *
   * @param hasPlace whether an opening would be delivered at once; an ejected target gets no probe
   *     that has to wait
   */
  boolean isClosedByEjection(boolean hasPlace, long nowMs) {
    boolean probeHasToWait = rejectsOutliers && outliers.isEjected() && !hasPlace;
    return probeHasToWait || outliers.rejectsAll(nowMs);
  }

  /**
   * Returns the reason to reject at once an opening that would have to wait, or null if it may
   * wait. Nothing is counted: {@link #rejectionReason} decides when the opening is delivered. A
   * target that is ejected gets its probe only while it has a free place.
   */
  @Nullable
  GiveBackReason rejectionReasonIfQueued(ForwardTerms terms, long nowMs) {
    if (liveness.hasEnded()) {
      return GiveBackReason.ENDED;
    }
    if (rejectsOutliers && !terms.overridesEjection() && outliers.isEjected()) {
      return GiveBackReason.UNFIT;
    }
    if (!terms.service().equals(service)) {
      return GiveBackReason.OTHER_SERVICE;
    }
    if (terms.configurationVersion() < configurationVersion) {
      return GiveBackReason.OLD_CONFIGURATION;
    }
    configurationVersion = terms.configurationVersion();
    GiveBackReason leaving = leavingReason();
    if (leaving != null) {
      return leaving;
    }
    return coldLimit.mayAdmit(terms.coldOpeningsPerS(), nowMs) ? null : GiveBackReason.COLD;
  }

  /** Returns why the target gets no new flows from now on, as last reported; null if it does. */
  @Nullable
  GiveBackReason leavingReason() {
    if (phase != TargetPhase.READY) {
      return GiveBackReason.LEAVING;
    }
    return evacuated ? GiveBackReason.EVACUATED : null;
  }
}
