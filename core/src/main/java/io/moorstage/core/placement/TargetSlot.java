package io.moorstage.core.placement;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.CapacityReport;
import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What a balancer knows of one target: its record, and the load, failures and flows that the
 * balancer has observed. A newer record from the source replaces the old one; the observations
 * stay.
 */
public final class TargetSlot {
  private static final long NEVER = Long.MIN_VALUE / 2;

  /**
   * With a base of 1 s, suspicion lasts 1, 2, 4 and then 8 s, so that a dead target gets few
   * openings.
   */
  private static final int MAX_SUSPICION_DOUBLINGS = 3;

  /** Much longer than a request of about 50 ms, but shorter than a change in the traffic. */
  private static final double AVERAGING_MS = 2_000;

  /**
   * The shortest validity of an admitted rank, in milliseconds. It covers the 500 ms after which an
   * agent reports an unchanged load, and the 20 ms at which the agent checks whether a report is
   * due. A longer one would let an agent that has stopped keep openings rejected for longer.
   */
  private static final int MIN_ADMITTED_RANK_VALID_MS = 750;

  private static final double TENTHS_PER_MS = 10;

  private volatile TargetRecord record;
  private volatile boolean evacuated;
  private final long hash;
  private final AtomicInteger activeFlows = new AtomicInteger();
  private volatile long suspectUntilMs = NEVER;
  private volatile int failedOpenings;
  private volatile long coldUntilMs;
  private volatile long coldAtLimitUntilMs = NEVER;
  private volatile long ejectedUntilMs = NEVER;
  private volatile int reportedBusyFlows;
  private volatile double averageBusyFlows;
  private final AtomicInteger placedSinceReport = new AtomicInteger();
  private volatile long reportedAtMs = NEVER;
  private volatile long agentLastSeenMs = NEVER;
  private volatile CapacityReport capacityReport = CapacityReport.UNKNOWN;
  private volatile long capacityReportedAtMs = NEVER;
  private volatile int admittedRankValidMs = MIN_ADMITTED_RANK_VALID_MS;
  private volatile double averageServiceTimeMs;

  /** Creates the slot of a target that has just been listed, or whose agent has just appeared. */
  public TargetSlot(TargetRecord record, long nowMs) {
    this.record = record;
    // Hashes the address rather than the id: a balancer that has lost its flow table may know the
    // agent at the address before the source lists the target, and both need the same rank so that
    // the balancer finds their flows.
    this.hash = FlowId.mix(record.address());
    this.coldUntilMs = nowMs + record.slowStartMs();
  }

  /** Returns the newest record of the target. */
  public TargetRecord record() {
    return record;
  }

  /** Replaces the record by a newer one; the target is cold again if its slow start is longer. */
  public void update(TargetRecord newer, long nowMs) {
    if (newer.slowStartMs() > record.slowStartMs()) {
      coldUntilMs = nowMs + newer.slowStartMs();
    }
    record = newer;
  }

  /**
   * Sets whether the target's zone is evacuated. When the evacuation ends, the target is cold again
   * for the duration of its slow start.
   */
  public void setEvacuated(boolean isEvacuated, long nowMs) {
    if (evacuated && !isEvacuated) {
      coldUntilMs = Math.max(coldUntilMs, nowMs + record.slowStartMs());
    }
    evacuated = isEvacuated;
  }

  /** Returns whether the target's zone is evacuated. */
  public boolean isEvacuated() {
    return evacuated;
  }

  /**
   * Returns whether the target may get a new flow, or the first reason why not.
   *
   * @param avoidsSuspects whether a suspect target is ineligible
   * @param avoidsEjected whether an ejected target is ineligible
   */
  public Eligibility eligibility(boolean avoidsSuspects, boolean avoidsEjected, long nowMs) {
    if (record.phase() != TargetPhase.READY) {
      return Eligibility.LEAVING;
    }
    if (evacuated) {
      return Eligibility.EVACUATED;
    }
    if (isColdAtLimit(nowMs)) {
      return Eligibility.COLD;
    }
    if (avoidsSuspects && isSuspect(nowMs)) {
      return Eligibility.SUSPECT;
    }
    if (avoidsEjected && isEjected(nowMs)) {
      return Eligibility.EJECTED;
    }
    return Eligibility.ELIGIBLE;
  }

  /** Returns whether the target is listed as ready and its zone is not evacuated. */
  public boolean acceptsNewFlows() {
    return record.phase() == TargetPhase.READY && !evacuated;
  }

  /** Returns the IPv4 address of the machine that the target and its agent run on. */
  public int address() {
    return record.address();
  }

  /** Returns how many open flows this balancer sends to the target. */
  public int activeFlows() {
    return activeFlows.get();
  }

  /** Counts a flow that this balancer has placed at the target or found there. */
  public void addFlow() {
    activeFlows.incrementAndGet();
    placedSinceReport.incrementAndGet();
  }

  /** Stops counting a flow that has ended or moved to another target. */
  public void removeFlow() {
    activeFlows.decrementAndGet();
  }

  /** Records that the target's agent has sent a beacon. */
  public void markAgentSeen(long nowMs) {
    agentLastSeenMs = nowMs;
  }

  /** Returns whether the target's agent has sent a beacon after {@code sinceMs}. */
  public boolean isAgentSeenSince(long sinceMs) {
    return agentLastSeenMs > sinceMs;
  }

  /** Records the number of requests in progress that the agent reports. */
  public void recordBusyFlows(int busyFlows, long nowMs) {
    double weight = Math.min(1, (nowMs - reportedAtMs) / AVERAGING_MS);
    averageBusyFlows += weight * (busyFlows - averageBusyFlows);
    reportedBusyFlows = busyFlows;
    placedSinceReport.set(0);
    reportedAtMs = nowMs;
  }

  /**
   * Records what the agent reports of the target's capacity.
   *
   * @param reportIntervalMs the interval of reports that the balancer requests, in milliseconds
   */
  public void recordCapacity(CapacityReport report, int reportIntervalMs, long nowMs) {
    admittedRankValidMs = admittedRankValidity(reportIntervalMs);
    double reportedMs = report.serviceTimeTenthsMs() / TENTHS_PER_MS;
    boolean continues = averageServiceTimeMs > 0 && reportedMs > 0;
    double weight = continues ? Math.min(1, (nowMs - capacityReportedAtMs) / AVERAGING_MS) : 1;
    averageServiceTimeMs += weight * (reportedMs - averageServiceTimeMs);
    capacityReport = report;
    capacityReportedAtMs = nowMs;
  }

  // The interval that a balancer requests of its agents grows with their number: 500 ms for 50 of
  // them. With a validity of 500 ms, a replay of 10,613 rejected openings took 6,741 messages. The
  // measured gap between two reports is not used, since a lost report lengthens it.
  private static int admittedRankValidity(int reportIntervalMs) {
    return Math.max(MIN_ADMITTED_RANK_VALID_MS, reportIntervalMs + reportIntervalMs / 2);
  }

  /**
   * Returns the last report of the target's capacity, or {@link CapacityReport#UNKNOWN} if there is
   * none or it is stale.
   *
   * @param validMs the age in milliseconds above which a report is stale
   */
  public CapacityReport capacityReport(int validMs, long nowMs) {
    return nowMs - capacityReportedAtMs <= validMs ? capacityReport : CapacityReport.UNKNOWN;
  }

  /**
   * Returns the highest rank of an opening that the agent admits by its last report, or {@link
   * SchedulingTerms#ADMIT_ALL} if there is no report or it is stale.
   */
  public int admittedRank(long nowMs) {
    return capacityReport(admittedRankValidMs, nowMs).admittedRank();
  }

  /**
   * Returns the rank of this target for a flow, as an unsigned number; the highest rank comes
   * first.
   */
  public long rank(long flowHash) {
    return FlowId.mix(flowHash ^ hash);
  }

  /**
   * Returns whether the target is suspect: it has recently left an opening unanswered or its agent
   * has given one back, or its agent reports that it is stopping or that the target has ended.
   */
  public boolean isSuspect(long nowMs) {
    return nowMs < suspectUntilMs;
  }

  /**
   * Returns whether the target is cold: it has started, or the evacuation of its zone has ended,
   * within the duration of its slow start.
   */
  public boolean isCold(long nowMs) {
    return nowMs < coldUntilMs;
  }

  /**
   * Records that the target has left an opening segment unanswered or has ended.
   *
   * @param suspicionMs for how long the target is suspect after a first failure, in milliseconds;
   *     doubled for each earlier one, up to three times
   */
  public void recordFailedOpening(int suspicionMs, long nowMs) {
    int doublings = Math.min(failedOpenings, MAX_SUSPICION_DOUBLINGS);
    failedOpenings++;
    suspectUntilMs = Math.max(suspectUntilMs, nowMs + ((long) suspicionMs << doublings));
  }

  /** Makes the target suspect for at least a time, without counting a failed opening. */
  public void markSuspect(int suspicionMs, long nowMs) {
    suspectUntilMs = Math.max(suspectUntilMs, nowMs + suspicionMs);
  }

  /**
   * Records whether the target is ejected from new flows. An ejection expires after {@code validMs}
   * unless it is recorded again.
   */
  public void recordEjection(boolean ejected, int validMs, long nowMs) {
    ejectedUntilMs = ejected ? nowMs + validMs : NEVER;
  }

  /** Returns whether the target is ejected because it breaks off requests or does not answer. */
  public boolean isEjected(long nowMs) {
    return nowMs < ejectedUntilMs;
  }

  /** Pauses new flows to a cold target that has rejected one at its cold start limit. */
  public void markColdAtLimit(int pauseMs, long nowMs) {
    coldAtLimitUntilMs = nowMs + pauseMs;
  }

  /** Returns whether new flows are paused because the target has reached its cold start limit. */
  public boolean isColdAtLimit(long nowMs) {
    return nowMs < coldAtLimitUntilMs;
  }

  /** Resets the failed openings, if any, and ends the suspicion, since the target has answered. */
  public void clearSuspicion() {
    if (failedOpenings > 0) {
      failedOpenings = 0;
      suspectUntilMs = NEVER;
    }
  }

  /**
   * Returns the load of the target with one more request, as requests for each of its slots. Counts
   * the requests in progress that the agent has reported and the flows that this balancer has added
   * since, or only this balancer's own flows if the report is stale.
   *
   * @param reportValidMs the age in milliseconds above which a report is stale
   */
  public double load(int reportValidMs, long nowMs) {
    boolean isReportValid = nowMs - reportedAtMs <= reportValidMs;
    int busyFlows = isReportValid ? reportedBusyFlows + placedSinceReport.get() : activeFlows.get();
    return (busyFlows + 1.0) / record.capacity();
  }

  /**
   * Returns the time for which the target works on a request, in milliseconds; 0 if its agent has
   * not reported it, or the report is stale.
   *
   * @param reportValidMs the age in milliseconds above which a report is stale
   */
  double serviceTimeMs(int reportValidMs, long nowMs) {
    return capacityReport(reportValidMs, nowMs).serviceTimeTenthsMs() / TENTHS_PER_MS;
  }

  /**
   * Returns the service time as a moving average of its reports, in milliseconds; 0 if it is not
   * known. A single long request hardly changes it.
   *
   * @param reportValidMs the age in milliseconds above which a report is stale
   */
  double averageServiceTimeMs(int reportValidMs, long nowMs) {
    return nowMs - capacityReportedAtMs <= reportValidMs ? averageServiceTimeMs : 0;
  }

  /**
   * Returns the load as {@link #load} does, but lets the reported part approach the target's
   * average as the report ages: other balancers have placed requests since, and the target has
   * answered some.
   *
   * @param fadingMs the age at which the difference to the average has shrunk to a third
   */
  double expectedLoad(int reportValidMs, double fadingMs, long nowMs) {
    long ageMs = nowMs - reportedAtMs;
    if (ageMs > reportValidMs) {
      return load(reportValidMs, nowMs);
    }
    double reported = (double) reportedBusyFlows / record.capacity();
    double average = averageUtilization();
    double expected = average + (reported - average) * Math.exp(-ageMs / fadingMs);
    return expected + (placedSinceReport.get() + 1.0) / record.capacity();
  }

  /**
   * Returns the open flows of the target for each of its slots: those that its agent has reported
   * and those that this balancer has added since, or only this balancer's own if the report is
   * stale.
   *
   * @param reportValidMs the age in milliseconds above which a report is stale
   */
  double heldLoad(int reportValidMs, long nowMs) {
    boolean isReportValid = nowMs - capacityReportedAtMs <= reportValidMs;
    int flows =
        isReportValid ? capacityReport.heldFlows() + placedSinceReport.get() : activeFlows.get();
    return (double) flows / record.capacity();
  }

  /** Returns the share of the target's slots in use, as a moving average of its agent's reports. */
  public double averageUtilization() {
    return averageBusyFlows / record.capacity();
  }
}
