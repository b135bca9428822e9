package io.moorstage.core.balancer;

import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.settings.OpeningSettings;
import io.moorstage.core.settings.OverloadSettings;
import java.util.ArrayList;
import java.util.List;
import javax.annotation.Nullable;

/**
 * Decides whether an opening that its first target has not accepted is retried, where, and when it
 * is rejected. Guarded by the lock of {@link FlowBalancer}.
 *
 * <p>Inputs: the reason why an agent gave the opening back, or a retransmission from the client;
 * the targets that have been tried; the time of each agent's last report; and the candidates of the
 * service, as of the newest state and of the agents' reports, which arrive every 100 ms to 500 ms.
 *
 * <p>An opening that was given back is placed at the next target at once, at each candidate once. A
 * retransmission goes to the same target in three cases: the client has sent a later segment; the
 * target accepts new flows, is not suspect, and its agent has reported since the opening; or there
 * is no other candidate. Otherwise the target is treated as unresponsive and the retransmission
 * goes to another one. When no candidate is left, the opening is rejected as described by {@link
 * Rejection}, unless a target that received it may still accept it: a reset could break an open
 * flow.
 *
 * <p>A target whose agent gave an opening back gets no new flows for {@code suspicionMs}, or longer
 * if it has left openings without a response before; a cold one gets none for {@value
 * #COLD_PAUSE_MS} ms. A full or overloaded target is excluded for this flow only.
 *
 * <p>With overload control, an opening whose rank is above the service's {@link AdmissionLevel} is
 * rejected at once. One that an agent gave back as overloaded is placed again at the least loaded
 * candidate, until {@code maxPlacements} targets have rejected it.
 */
final class OpeningRetries {
  /**
   * How long, in milliseconds, a balancer excludes a cold target that has rejected a flow. The
   * target accepts new flows again within a second; a dozen balancers that each try five times a
   * second cause the agent to give back some 60 openings a second.
   */
  private static final int COLD_PAUSE_MS = 200;

  private final OpeningSettings settings;
  private final OverloadSettings overload;
  private final AdmissionLevel level;
  private final BalancerTables tables;

  /** The destination of a retransmitted opening segment. */
  enum Destination {
    /** The flow has no target and is placed like a new one. */
    PLACE_AS_NEW,
    /** The target that received the previous copy. */
    SAME_TARGET,
    /** Another target, since the first one has neither accepted nor rejected the opening. */
    OTHER_TARGET
  }

  /** The handling of an opening for which no candidate is left. */
  enum Rejection {
    /** Reset: all targets are in evacuated zones, so waiting would not help. */
    EVACUATED("evacuated"),
    /** Reset: cold targets have reached their limit of new flows. */
    COLD("cold"),
    /** Reset: the service is overloaded, and the opening's rank is too high. */
    OVERLOADED(DecisionLog.OVERLOADED),
    /** No target has rejected the opening: it may wait for a target, and is reset otherwise. */
    MAY_WAIT("no-target"),
    /** Reset: every candidate has rejected the opening or not responded to it. */
    NO_TARGET("no-target");

    private final String reason;

    Rejection(String reason) {
      this.reason = reason;
    }

    /** Returns the reason that is logged for a reset. */
    String reason() {
      return reason;
    }
  }

  OpeningRetries(ForwardingPolicy policy, BalancerTables tables) {
    this.settings = policy.opening();
    this.overload = policy.overload();
    this.level = new AdmissionLevel(policy.uses(Mechanism.SUSPICION));
    this.tables = tables;
  }

  /** Returns the rank of a flow's opening; 0 without overload control, which does not use it. */
  int rankOf(BalancerFlow flow) {
    return overload.enabled() ? tables.rankOf(flow) : 0;
  }

  /**
   * Chooses the next target of an opening.
   *
   * @param pool the candidates of the flow's service
   * @param rank the rank of the opening, as {@link #rankOf} returns it
   * @return the target, or null if there is no candidate
   */
  @Nullable
  TargetSlot chooseTarget(BalancerFlow flow, TargetPool pool, int rank, long nowMs) {
    if (!overload.enabled()) {
      return pool.choose(flow.id(), flow.tried(), nowMs);
    }
    return flow.isRejectedAsOverloaded()
        ? pool.leastLoaded(flow.id(), flow.tried(), rank, nowMs)
        : pool.choose(flow.id(), flow.tried(), rank, nowMs);
  }

  /**
   * Returns whether an opening is rejected as overload although there may be candidates left.
   *
   * @param pool the candidates of the flow's service
   * @param rank the rank of the opening, as {@link #rankOf} returns it
   */
  boolean isOverloaded(BalancerFlow flow, TargetPool pool, int rank, long nowMs) {
    return overload.enabled()
        && (hasReachedMaxPlacements(flow) || isAboveLevel(flow, pool, rank, nowMs));
  }

  private boolean hasReachedMaxPlacements(BalancerFlow flow) {
    return flow.isRejectedAsOverloaded()
        && flow.tried().size() >= overload.maxPlacements()
        && !tables.isEvacuated(flow.service());
  }

  // The level does not apply to an opening that a target may accept through an earlier copy: it
  // must not be reset, and without a further placement its client would wait in vain.
  private boolean isAboveLevel(BalancerFlow flow, TargetPool pool, int rank, long nowMs) {
    return !flow.mayHaveBeenAccepted(nowMs) && !level.admits(pool, rank, nowMs);
  }

  /**
   * Returns whether an opening that an agent gave back has to be placed again, or rejected.
   *
   * @param wasPlacedThere whether the flow was last placed at the agent's target
   */
  boolean isPlacedAgain(BalancerFlow flow, boolean wasPlacedThere) {
    if (flow.target() == null || wasPlacedThere) {
      return true;
    }
    // A retransmission was placed at another target in the meantime. If that one has given it back
    // too, no target has the opening, and the client would wait for its time-out.
    return overload.enabled() && flow.isRejectedAsOverloaded() && !flow.hasOpeningsNotGivenBack();
  }

  /** Returns the lowest admission level of all services. */
  int lowestLevel(long nowMs) {
    int lowest = SchedulingTerms.ADMIT_ALL;
    if (overload.enabled()) {
      for (TargetPool pool : tables.pools()) {
        lowest = Math.min(lowest, level.of(pool, nowMs));
      }
    }
    return lowest;
  }

  /** Returns the destination of a retransmission of a flow's opening segment. */
  Destination destinationOf(BalancerFlow flow, long nowMs) {
    TargetSlot target = flow.target();
    if (target == null || flow.isSearching()) {
      return Destination.PLACE_AS_NEW;
    }
    boolean keepsTarget =
        flow.hasTargetResponded()
            || mayStillRespond(flow, target, nowMs)
            || !hasAlternative(flow, target, nowMs);
    return keepsTarget ? Destination.SAME_TARGET : Destination.OTHER_TARGET;
  }

  private static boolean mayStillRespond(BalancerFlow flow, TargetSlot target, long nowMs) {
    return target.acceptsNewFlows()
        && target.isAgentSeenSince(flow.openedAtMs())
        && !target.isSuspect(nowMs);
  }

  /**
   * Returns whether an unanswered opening may wait in the queue of a target's agent, by the agent's
   * last report. The target is then not suspect because of it.
   */
  boolean mayWaitAt(TargetSlot target, long nowMs) {
    return overload.enabled() && target.admittedRank(nowMs) < SchedulingTerms.ADMIT_ALL;
  }

  private boolean hasAlternative(BalancerFlow flow, TargetSlot target, long nowMs) {
    if (!target.acceptsNewFlows()) {
      return true;
    }
    TargetPool pool = tables.candidatesOf(flow.service(), nowMs);
    List<TargetSlot> excluded = new ArrayList<>(flow.tried());
    excluded.add(target);
    return pool != null && pool.choose(flow.id(), excluded, nowMs) != null;
  }

  /**
   * Excludes a target from new flows because it did not respond to an opening or its agent gave the
   * opening back. A full or overloaded target is not excluded from other flows.
   */
  void exclude(TargetSlot target, GiveBackReason reason, long nowMs) {
    int suspicionMs = settings.suspicionMs();
    switch (reason) {
      case SILENT, ENDED -> target.recordFailedOpening(suspicionMs, nowMs);
      case COLD -> target.markColdAtLimit(COLD_PAUSE_MS, nowMs);
      case UNFIT -> target.recordEjection(true, suspicionMs, nowMs);
      case FULL, OVERLOADED -> {}
      default -> target.markSuspect(suspicionMs, nowMs);
    }
  }

  /** Returns how to handle an opening for which no candidate is left. */
  Rejection rejectionOf(BalancerFlow flow, long nowMs) {
    if (tables.isEvacuated(flow.service())) {
      return Rejection.EVACUATED;
    }
    if (tables.hasColdAtLimit(flow.service(), nowMs)) {
      return Rejection.COLD;
    }
    if (flow.isRejectedAsOverloaded()) {
      return Rejection.OVERLOADED;
    }
    return flow.tried().isEmpty() ? Rejection.MAY_WAIT : Rejection.NO_TARGET;
  }
}
