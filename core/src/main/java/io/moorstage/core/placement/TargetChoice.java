package io.moorstage.core.placement;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import java.util.List;
import javax.annotation.Nullable;

/**
 * Chooses the target of a new flow.
 *
 * <p>Inputs: the targets of the service with what this balancer knows of each ({@link TargetSlot}),
 * the flow's hash, and the targets that have rejected the flow or left it unanswered. Loads are
 * those that the agents report every 100 ms to 500 ms. A report expires after {@link
 * #REPORT_VALID_MS}.
 *
 * <p>Candidates are the targets that are {@link Eligibility#ELIGIBLE}. Ejected targets are also
 * candidates while most targets are ejected, since the others could not handle the load. Suspect
 * targets are also candidates when there is no other, since a target that does not answer may still
 * be running. Under overload control, targets whose agents do not admit the opening's rank are
 * candidates only if no other target is, except suspect ones. Rendezvous hashing ranks the
 * candidates for the flow. The less loaded of the two highest ranked candidates in the balancer's
 * own zone gets the flow if it has room. Otherwise the less loaded of the two highest ranked
 * candidates in all zones gets it.
 *
 * <p>Comparing two candidates balances the load nearly as well as comparing all (Mitzenmacher,
 * 2001). Since the two depend only on the flow, the zone and the set of candidates, a balancer that
 * has lost its flow table has to consider only a few targets to locate a flow. Without the
 * preference for the own zone, a day's credit was 0.006 lower (mean of three days, one run each),
 * which is close to the variation between such runs.
 */
final class TargetChoice {
  /** An agent reports at least every 500 ms: its load is stale when three reports are missing. */
  private static final int REPORT_VALID_MS = 1_500;

  /** The rank of an opening that every agent admits, as without overload control. */
  static final int ANY_RANK = 0;

  /** With this validity every report counts as stale, so load reports are not used. */
  private static final int REPORTS_IGNORED_MS = -1;

  /**
   * Multiplies the load of a cold target. Such a target takes about 1.6 times as long for a
   * request, and its queue grows at once. Without the factor, a day's credit was 0.003 lower, which
   * is within the noise.
   */
  private static final double SLOW_START_FACTOR = 2.5;

  /** Up to this load, a new request finds a free slot at a target of the own zone. */
  private static final double MAX_OWN_ZONE_LOAD = 1.0;

  /** Half of the slots of a target of the own zone stay free on average, to absorb bursts. */
  private static final double MAX_OWN_ZONE_UTILIZATION = 0.5;

  private final String zone;
  private final boolean prefersOwnZone;
  private final boolean comparesTwo;
  private final boolean avoidsSuspects;
  private final int reportValidMs;
  private final double slowStartFactor;

  /**
   * Creates the rule of one balancer.
   *
   * @param zone the balancer's zone
   * @param policy the mechanisms that the choice may use
   */
  TargetChoice(String zone, ForwardingPolicy policy) {
    this.zone = zone;
    this.prefersOwnZone = policy.uses(Mechanism.OWN_ZONE_FIRST);
    this.comparesTwo = policy.uses(Mechanism.TWO_CHOICES);
    this.avoidsSuspects = policy.uses(Mechanism.SUSPICION);
    this.reportValidMs = policy.uses(Mechanism.LOAD_REPORTS) ? REPORT_VALID_MS : REPORTS_IGNORED_MS;
    this.slowStartFactor = policy.uses(Mechanism.SLOW_START) ? SLOW_START_FACTOR : 1.0;
  }

  /**
   * Chooses the target of a new flow.
   *
   * @param tried targets that have rejected the flow or left it unanswered
   * @param rank the rank of the opening, {@link #ANY_RANK} without overload control
   * @param admitsEjected whether ejected targets are candidates too
   * @return the target, or null if there is no candidate
   */
  @Nullable
  TargetSlot choose(
      List<TargetSlot> slots,
      FlowId flow,
      List<TargetSlot> tried,
      int rank,
      boolean admitsEjected,
      long nowMs) {
    CandidateFilter filter =
        new CandidateFilter(flow.hash(), tried, rank, admitsEjected, !avoidsSuspects);
    return chooseStepwise(filter, slots, false, nowMs);
  }

  /**
   * Returns the least loaded candidate; of several, the one that ranks highest for the flow.
   * Parameters as for {@link #choose}.
   */
  @Nullable
  TargetSlot leastLoaded(
      List<TargetSlot> slots,
      FlowId flow,
      List<TargetSlot> tried,
      int rank,
      boolean admitsEjected,
      long nowMs) {
    CandidateFilter filter =
        new CandidateFilter(flow.hash(), tried, rank, admitsEjected, !avoidsSuspects);
    return chooseStepwise(filter, slots, true, nowMs);
  }

  // Chooses among the targets that admit the opening, then among all that are not suspect, then
  // among all.
  @Nullable
  private TargetSlot chooseStepwise(
      CandidateFilter filter, List<TargetSlot> slots, boolean comparesAll, long nowMs) {
    TargetSlot chosen = chooseAmong(filter, slots, comparesAll, nowMs);
    if (chosen == null && filter.rank() != ANY_RANK) {
      chosen = chooseAmong(filter.withAnyRank(), slots, comparesAll, nowMs);
    }
    return chosen != null
        ? chosen
        : chooseAmong(filter.withAnyRank().withSuspects(), slots, comparesAll, nowMs);
  }

  @Nullable
  private TargetSlot chooseAmong(
      CandidateFilter filter, List<TargetSlot> slots, boolean comparesAll, long nowMs) {
    return comparesAll ? leastLoadedAmong(filter, slots, nowMs) : chooseAmong(filter, slots, nowMs);
  }

  /** Decides which targets are candidates in one pass over the targets. */
  private record CandidateFilter(
      long flowHash,
      List<TargetSlot> tried,
      int rank,
      boolean admitsEjected,
      boolean admitsSuspects) {

    CandidateFilter withSuspects() {
      return new CandidateFilter(flowHash, tried, rank, admitsEjected, true);
    }

    CandidateFilter withAnyRank() {
      return new CandidateFilter(flowHash, tried, ANY_RANK, admitsEjected, admitsSuspects);
    }

    boolean isCandidate(TargetSlot slot, long nowMs) {
      boolean eligible =
          slot.eligibility(!admitsSuspects, !admitsEjected, nowMs) == Eligibility.ELIGIBLE;
      return eligible && admitsRank(slot, nowMs) && !isTried(slot.address());
    }

    private boolean admitsRank(TargetSlot slot, long nowMs) {
      return rank == ANY_RANK || slot.admittedRank(nowMs) >= rank;
    }

    private boolean isTried(int address) {
      for (TargetSlot slot : tried) {
        if (slot.address() == address) {
          return true;
        }
      }
      return false;
    }
  }

  @Nullable
  private TargetSlot chooseAmong(CandidateFilter filter, List<TargetSlot> slots, long nowMs) {
    HighestTwo ofOwnZone = new HighestTwo(filter.flowHash());
    HighestTwo ofAll = new HighestTwo(filter.flowHash());
    for (TargetSlot slot : slots) {
      if (!filter.isCandidate(slot, nowMs)) {
        continue;
      }
      ofAll.add(slot);
      if (slot.record().zone().equals(zone)) {
        ofOwnZone.add(slot);
      }
    }
    TargetSlot local = lessLoaded(ofOwnZone, nowMs);
    boolean staysInZone = prefersOwnZone && local != null && hasRoom(local, nowMs);
    return staysInZone ? local : lessLoaded(ofAll, nowMs);
  }

  @Nullable
  private TargetSlot leastLoadedAmong(CandidateFilter filter, List<TargetSlot> slots, long nowMs) {
    TargetSlot least = null;
    double leastLoad = 0;
    for (TargetSlot slot : slots) {
      if (!filter.isCandidate(slot, nowMs)) {
        continue;
      }
      double load = weightedLoad(slot, nowMs);
      boolean isLess =
          least == null
              || load < leastLoad
              || (load == leastLoad && ranksHigher(slot, least, filter.flowHash()));
      if (isLess) {
        least = slot;
        leastLoad = load;
      }
    }
    return least;
  }

  private static boolean ranksHigher(TargetSlot slot, TargetSlot other, long flowHash) {
    return Long.compareUnsigned(slot.rank(flowHash), other.rank(flowHash)) > 0;
  }

  private boolean hasRoom(TargetSlot slot, long nowMs) {
    return weightedLoad(slot, nowMs) <= MAX_OWN_ZONE_LOAD
        && slot.averageUtilization() <= MAX_OWN_ZONE_UTILIZATION;
  }

  @Nullable
  private TargetSlot lessLoaded(HighestTwo two, long nowMs) {
    if (two.second == null || !comparesTwo) {
      return two.first;
    }
    boolean isSecondLessLoaded = weightedLoad(two.second, nowMs) < weightedLoad(two.first, nowMs);
    return isSecondLessLoaded ? two.second : two.first;
  }

  private double weightedLoad(TargetSlot slot, long nowMs) {
    double load = slot.load(reportValidMs, nowMs);
    return slot.isCold(nowMs) ? load * slowStartFactor : load;
  }

  /** Collects the two highest ranked targets for a flow. */
  private static final class HighestTwo {
    private final long flowHash;
    @Nullable private TargetSlot first;
    @Nullable private TargetSlot second;

    private HighestTwo(long flowHash) {
      this.flowHash = flowHash;
    }

    private void add(TargetSlot slot) {
      if (first == null || ranksHigher(slot, first, flowHash)) {
        second = first;
        first = slot;
      } else if (second == null || ranksHigher(slot, second, flowHash)) {
        second = slot;
      }
    }
  }
}
