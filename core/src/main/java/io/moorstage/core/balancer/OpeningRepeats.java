package io.moorstage.core.balancer;

import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.OpeningSettings;
import java.util.ArrayList;
import java.util.List;

/**
 * The rule for an opening that its first target has not taken: is it placed again, how often, and
 * when is it refused? Guarded by the lock of {@link FlowBalancer}.
 *
 * <p>Inputs: why an agent gave the opening back, or that a further copy came from the client; the
 * targets that have had it; when an agent was heard last; and the candidates of the service, as of
 * the newest state and of the agents' reports, every 100 ms to 500 ms.
 *
 * <p>An opening that an agent gives back is placed at the next target at once, at each candidate
 * once. A further copy goes to the same target if the client has gone on, if the target's agent has
 * been heard since the opening and is not suspect, or if there is no other candidate; otherwise the
 * target counts as silent and the copy goes to another one. When no candidate is left, the opening
 * is refused as {@link Refusal} tells, unless a target that got it may still accept it: a reset
 * could hit an open flow.
 *
 * <p>A target that gave an opening back is left out of new flows for {@code suspicionMs}, and for
 * longer if it has been silent before; a cold one for {@value #COLD_PAUSE_MS} ms; one that is full
 * for this flow only.
 */
final class OpeningRepeats {
  /**
   * For how long, in milliseconds, a balancer leaves out a cold target that has refused a flow. A
   * place comes free within a second; a dozen balancers that each try five times a second cost the
   * agent some 60 returned openings a second. Not measured.
   */
  private static final int COLD_PAUSE_MS = 200;

  private final OpeningSettings settings;
  private final BalancerTables tables;

  /** Where a further copy of an opening segment goes. */
  enum Copy {
    /** The flow has no target: it is placed like a new one. */
    PLACED,
    /** To the target that got the first one. */
    SAME_TARGET,
    /** To another target: neither an answer nor a refusal came from the first one. */
    OTHER_TARGET
  }

  /** What becomes of an opening that no candidate is left for. */
  enum Refusal {
    /** Reset: all targets are in evacuated zones, and no wait brings one. */
    EVACUATED("evacuated"),
    /** Reset: targets are cold and have got as many flows as they bear. */
    COLD("cold"),
    /** No target has refused the opening: it may wait for one, or is reset. */
    MAY_WAIT("no-target"),
    /** Reset: each candidate has refused. */
    NO_TARGET("no-target");

    private final String reason;

    Refusal(String reason) {
      this.reason = reason;
    }

    /** Returns the reason that the log gives for a reset. */
    String reason() {
      return reason;
    }
  }

  OpeningRepeats(OpeningSettings settings, BalancerTables tables) {
    this.settings = settings;
    this.tables = tables;
  }

  /** Returns where a further copy of a flow's opening segment goes. */
  Copy copyOf(BalancerFlow flow, long nowMs) {
    TargetSlot target = flow.target();
    if (target == null || flow.isSearching()) {
      return Copy.PLACED;
    }
    boolean stays =
        flow.isAnswered() || mayAnswer(flow, target, nowMs) || !hasOther(flow, target, nowMs);
    return stays ? Copy.SAME_TARGET : Copy.OTHER_TARGET;
  }

  private static boolean mayAnswer(BalancerFlow flow, TargetSlot target, long nowMs) {
    return target.acceptsNewFlows()
        && target.isAgentSeenSince(flow.openedAtMs())
        && !target.isSuspect(nowMs);
  }

  private boolean hasOther(BalancerFlow flow, TargetSlot target, long nowMs) {
    if (!target.acceptsNewFlows()) {
      return true;
    }
    TargetPool pool = tables.candidatesOf(flow.service(), nowMs);
    List<TargetSlot> excluded = new ArrayList<>(flow.tried());
    excluded.add(target);
    return pool != null && pool.choose(flow.id(), excluded, nowMs) != null;
  }

  /** Leaves a target out of new flows that has given an opening back, or left it unanswered. */
  void leaveOut(TargetSlot target, GiveBackReason reason, long nowMs) {
    int suspicionMs = settings.suspicionMs();
    switch (reason) {
      case SILENT, ENDED -> target.recordFailedOpening(suspicionMs, nowMs);
      case COLD -> target.markColdAtLimit(COLD_PAUSE_MS, nowMs);
      case UNFIT -> target.recordEjection(true, suspicionMs, nowMs);
      case FULL -> {}
      default -> target.markSuspect(suspicionMs, nowMs);
    }
  }

  /** Returns what becomes of an opening that no candidate is left for. */
  Refusal refusalOf(BalancerFlow flow, long nowMs) {
    if (tables.isEvacuated(flow.service())) {
      return Refusal.EVACUATED;
    }
    if (tables.hasColdAtLimit(flow.service(), nowMs)) {
      return Refusal.COLD;
    }
    return flow.tried().isEmpty() ? Refusal.MAY_WAIT : Refusal.NO_TARGET;
  }
}
