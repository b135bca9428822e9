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
 * <p>While the service times of the targets differ ({@link ServiceTimes}), four candidates are
 * compared instead of two, since comparing two cannot send a fast target its full share, and by the
 * expected time to completion instead of the load. Where flows are long, the expected load of the
 * flows held counts as much as that time. A slow target gets half of the flows for which it ranks
 * first while it is idle, so that its agent notices when it has recovered.
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

  /** Candidates that are compared. */
  private static final int CHOICES = 2;

  /** Candidates that are compared while the service times differ. */
  private static final int CHOICES_BY_TIME = 4;

  /** How long computed service times are used: the shortest interval between an agent's reports. */
  private static final int SERVICE_TIMES_VALID_MS = 100;

  /**
   * An idle target this many times as slow as the mean gets some of the flows for which it ranks
   * first.
   */
  private static final double PROBED_FACTOR = 2.0;

  /**
   * So does one this many times as slow as the fastest tenth: where half of the targets are slow,
   * none takes twice the mean time.
   */
  private static final double PROBED_FACTOR_TO_FASTEST = 3.0;

  /**
   * After this many mean service times, a reported load says little about the current one. In a
   * simulation of 20 balancers and 50 targets, factors of 1.5 and 6 gave longer response times.
   */
  private static final double FADING_FACTOR = 3.0;

  /**
   * Of the flows for which a slow target ranks first, one in this many may go there. If all did,
   * several balancers would send it flows before its agent reports the first one.
   */
  private static final int PROBING_FLOWS = 2;

  /** A target of the own zone has room for long flows up to this multiple of the mean held. */
  private static final double MAX_OWN_ZONE_HELD = 1.2;

  private final String zone;
  private final boolean prefersOwnZone;
  private final boolean comparesTwo;
  private final boolean avoidsSuspects;
  private final int reportValidMs;
  private final double slowStartFactor;
  private final boolean usesServiceTimes;
  private volatile ServiceTimes cachedTimes = ServiceTimes.UNKNOWN;

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
    this.usesServiceTimes = policy.uses(Mechanism.SERVICE_TIMES);
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
    ServiceTimes times = serviceTimes(slots, nowMs);
    boolean byTime = comparesTimes(slots, nowMs);
    int choices = !comparesTwo ? 1 : byTime ? CHOICES_BY_TIME : CHOICES;
    HighestRanked ofOwnZone = new HighestRanked(filter.flowHash(), choices);
    HighestRanked ofAll = new HighestRanked(filter.flowHash(), choices);
    for (TargetSlot slot : slots) {
      if (!filter.isCandidate(slot, nowMs)) {
        continue;
      }
      ofAll.add(slot);
      if (slot.record().zone().equals(zone)) {
        ofOwnZone.add(slot);
      }
    }
    TargetSlot local = cheapest(ofOwnZone, byTime ? times : null, nowMs);
    boolean staysInZone =
        prefersOwnZone
            && local != null
            && hasRoom(local, nowMs)
            && !(byTime && holdsMoreThanOthers(local, times, nowMs));
    return staysInZone ? local : cheapest(ofAll, byTime ? times : null, nowMs);
  }

  /** Returns whether flows are placed by service times while these differ. */
  boolean usesServiceTimes() {
    return usesServiceTimes;
  }

  /** Returns whether flows are placed by service times now, since these differ. */
  private boolean comparesTimes(List<TargetSlot> slots, long nowMs) {
    return usesServiceTimes && serviceTimes(slots, nowMs).differ();
  }

  /** Returns the pool's service times, which are computed again when they are old. */
  ServiceTimes serviceTimes(List<TargetSlot> slots, long nowMs) {
    ServiceTimes times = cachedTimes;
    if (nowMs - times.computedAtMs() >= SERVICE_TIMES_VALID_MS) {
      times = ServiceTimes.of(slots, reportValidMs, nowMs);
      cachedTimes = times;
    }
    return times;
  }

  private boolean holdsMoreThanOthers(TargetSlot slot, ServiceTimes times, long nowMs) {
    return times.areFlowsLong()
        && heldMs(slot, times, nowMs) > MAX_OWN_ZONE_HELD * times.meanHeldMs();
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

  /**
   * Returns the candidate with the lowest cost, the highest ranked one of several, or null if there
   * is none. The cost is the load if the service times do not differ.
   *
   * @param times the pool's service times if they differ, otherwise null
   */
  @Nullable
  private TargetSlot cheapest(HighestRanked ranked, @Nullable ServiceTimes times, long nowMs) {
    TargetSlot best = ranked.slots[0];
    if (times != null && best != null && ranked.mayProbe() && isToBeProbed(best, times, nowMs)) {
      return best;
    }
    double lowest = Double.POSITIVE_INFINITY;
    for (int i = 0; i < ranked.count; i++) {
      TargetSlot slot = ranked.slots[i];
      double cost = times == null ? weightedLoad(slot, nowMs) : costByTime(slot, times, nowMs);
      if (cost < lowest) {
        lowest = cost;
        best = slot;
      }
    }
    return best;
  }

  // Without its flows no agent would notice that a target has recovered.
  private boolean isToBeProbed(TargetSlot slot, ServiceTimes times, long nowMs) {
    boolean isIdle = slot.load(reportValidMs, nowMs) * slot.record().capacity() <= 1;
    boolean holdsLongFlows = times.areFlowsLong() && slot.heldLoad(reportValidMs, nowMs) > 0;
    double probedMs =
        Math.min(PROBED_FACTOR * times.meanMs(), PROBED_FACTOR_TO_FASTEST * times.fastestMs());
    return isIdle && !holdsLongFlows && slot.serviceTimeMs(reportValidMs, nowMs) > probedMs;
  }

  private double costByTime(TargetSlot slot, ServiceTimes times, long nowMs) {
    double fadingMs = FADING_FACTOR * times.meanMs();
    double load = slot.expectedLoad(reportValidMs, fadingMs, nowMs);
    double coldFactor = slot.isCold(nowMs) ? slowStartFactor : 1;
    double completionMs = load * coldFactor * timeMs(slot, times, nowMs);
    if (!times.areFlowsLong()) {
      return completionMs;
    }
    return completionMs / times.meanCompletionMs()
        + heldMs(slot, times, nowMs) / times.meanHeldMs();
  }

  private double heldMs(TargetSlot slot, ServiceTimes times, long nowMs) {
    return slot.heldLoad(reportValidMs, nowMs) * timeMs(slot, times, nowMs);
  }

  private double timeMs(TargetSlot slot, ServiceTimes times, long nowMs) {
    double reportedMs = slot.serviceTimeMs(reportValidMs, nowMs);
    return reportedMs > 0 ? reportedMs : times.meanMs();
  }

  private double weightedLoad(TargetSlot slot, long nowMs) {
    double load = slot.load(reportValidMs, nowMs);
    return slot.isCold(nowMs) ? load * slowStartFactor : load;
  }

  /** Collects the highest ranked targets for a flow, in the order of their ranks. */
  private static final class HighestRanked {
    private final long flowHash;
    private final TargetSlot[] slots;
    private final long[] ranks;
    private int count;

    private HighestRanked(long flowHash, int size) {
      this.flowHash = flowHash;
      this.slots = new TargetSlot[size];
      this.ranks = new long[size];
    }

    private boolean mayProbe() {
      return Long.remainderUnsigned(flowHash, PROBING_FLOWS) == 0;
    }

    private void add(TargetSlot slot) {
      long rank = slot.rank(flowHash);
      int index = count;
      while (index > 0 && Long.compareUnsigned(rank, ranks[index - 1]) > 0) {
        index--;
      }
      if (index == slots.length) {
        return;
      }
      count = Math.min(count + 1, slots.length);
      for (int i = count - 1; i > index; i--) {
        slots[i] = slots[i - 1];
        ranks[i] = ranks[i - 1];
      }
      slots[index] = slot;
      ranks[index] = rank;
    }
  }
}
