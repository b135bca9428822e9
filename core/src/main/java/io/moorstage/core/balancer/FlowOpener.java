package io.moorstage.core.balancer;

import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.state.ForwardingRoute;
import java.nio.ByteBuffer;
import java.util.List;
import javax.annotation.Nullable;

/**
 * Places new flows at targets, retries elsewhere when a target rejects a flow, and holds openings
 * that have to wait. Guarded by the lock of {@link FlowBalancer}.
 *
 * <p>This class handles the events (openings, openings given back, new states, time) and forwards
 * the opening segments. {@link TargetPool} chooses the target, {@link OpeningRetries} decides
 * whether an opening is placed again or rejected, and {@link WaitingOpenings} holds the waiting
 * ones.
 */
final class FlowOpener {
  private final BalancerActions actions;
  private final DecisionLog log;
  private final BalancerTables tables;
  private final OpeningRetries retries;
  private final WaitingOpenings waiting;
  private long confirmedUntilMs = Long.MIN_VALUE;

  FlowOpener(
      ForwardingPolicy policy, BalancerActions actions, DecisionLog log, BalancerTables tables) {
    this.actions = actions;
    this.log = log;
    this.tables = tables;
    this.retries = new OpeningRetries(policy, tables);
    this.waiting = new WaitingOpenings(policy.opening());
  }

  /** Returns the lowest admission level of all services. */
  int lowestAdmissionLevel(long nowMs) {
    return retries.lowestLevel(nowMs);
  }

  /**
   * Records until when the configuration source has confirmed the state as current. Confirmations
   * come from several threads, in any order.
   */
  void onConfirmed(long untilMs) {
    confirmedUntilMs = Math.max(confirmedUntilMs, untilMs);
  }

  // ---- waiting openings ----

  /** Opens the waiting flows whose configuration or target has become available. */
  void retryWaiting(long nowMs) {
    for (WaitingOpenings.Opening opening : waiting.removeAll()) {
      if (isReadyToOpen(opening, nowMs)) {
        open(opening.segment(), ByteBuffer.wrap(opening.datagram()), nowMs);
      } else {
        waiting.restore(opening);
      }
    }
  }

  private boolean isReadyToOpen(WaitingOpenings.Opening opening, long nowMs) {
    return opening.waitsForTarget()
        ? hasTarget(opening.segment(), nowMs)
        : opening.version() <= tables.configuration().version();
  }

  private boolean hasTarget(Segment segment, long nowMs) {
    ForwardingRoute route = tables.configuration().routeOf(segment.flow());
    String service = route == null ? null : route.serviceOf(segment.flow());
    TargetPool pool = service == null ? null : tables.candidatesOf(service, nowMs);
    return pool != null && pool.choose(segment.flow(), List.of(), nowMs) != null;
  }

  /**
   * Removes the expired waiting openings: resets those that waited for a target, and drops those
   * that waited for a configuration. A flow that is in the table since its opening waits is not
   * reset, as it was found at a target that had accepted it through another balancer, or is
   * searched for.
   */
  void onTick(long nowMs) {
    for (WaitingOpenings.Opening opening : waiting.removeExpired(nowMs)) {
      if (opening.waitsForTarget() && tables.flow(opening.segment().flow()) == null) {
        resetOpening(opening.segment(), "no-target-came", nowMs);
      }
    }
  }

  // ---- openings from clients ----

  /** Handles an opening segment, either the first one of its flow or a retransmission. */
  void open(Segment segment, ByteBuffer datagram, long nowMs) {
    ForwardingRoute route = tables.configuration().routeOf(segment.flow());
    if (route == null) {
      openWithoutRoute(segment, nowMs);
      return;
    }
    BalancerFlow flow = tables.flow(segment.flow());
    if (flow != null && flow.isSearching()) {
      // The client has continued the flow, so that a target has accepted an earlier copy.
      return;
    }
    if (flow == null || flow.isNotFound()) {
      openNew(route.serviceOf(segment.flow()), segment, datagram, nowMs);
    } else {
      openRetransmitted(flow, segment, datagram, nowMs);
    }
  }

  private void openWithoutRoute(Segment segment, long nowMs) {
    // A reset is safe only if the configuration is confirmed as current: an outdated one may lack a
    // route that exists.
    if (nowMs <= confirmedUntilMs) {
      log.decided(
          Decision.RESET_NO_ROUTE, segment.flow(), 0, "confirmed", tables.ageOfState(nowMs));
      actions.reset(segment.flow(), segment.acknowledged());
    } else {
      log.decided(
          Decision.DROPPED_NO_ROUTE, segment.flow(), 0, "unconfirmed", tables.ageOfState(nowMs));
    }
  }

  private void openNew(@Nullable String service, Segment segment, ByteBuffer datagram, long nowMs) {
    if (service == null) {
      resetOpening(segment, "no-weight", nowMs);
      return;
    }
    BalancerFlow flow = BalancerFlow.opening(segment.flow(), service, nowMs);
    flow.recordCopy(segment.copy());
    tables.add(flow);
    place(flow, segment, datagram, "new", nowMs);
  }

  private void openRetransmitted(
      BalancerFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    flow.markUsed(nowMs);
    flow.recordCopy(segment.copy());
    TargetSlot target = flow.target();
    switch (retries.destinationOf(flow, nowMs)) {
      case PLACE_AS_NEW -> {
        if (flow.isRejectedAsOverloaded()) {
          // Targets that rejected an earlier copy may have room now.
          flow.clearTried();
        }
        place(flow, segment, datagram, "copy", nowMs);
      }
      case SAME_TARGET -> {
        log.decided(
            Decision.REPEATED, flow.id(), target.address(), "copy", tables.ageOfState(nowMs));
        flow.countRetransmission();
        tables.send(flow, target, datagram);
      }
      case OTHER_TARGET -> {
        if (!retries.mayWaitAt(target, nowMs)) {
          retries.exclude(target, GiveBackReason.SILENT, nowMs);
        }
        flow.addUnanswered(target);
        place(flow, segment, datagram, "unanswered", nowMs);
      }
    }
  }

  private void place(
      BalancerFlow flow, Segment segment, ByteBuffer datagram, String reason, long nowMs) {
    TargetPool pool = tables.candidatesOf(flow.service(), nowMs);
    int rank = retries.rankOf(flow);
    if (pool != null && retries.isOverloaded(flow, pool, rank, nowMs)) {
      rejectOverloaded(flow, segment, nowMs);
      return;
    }
    TargetSlot chosen = pool == null ? null : retries.chooseTarget(flow, pool, rank, nowMs);
    if (chosen == null) {
      waitOrReject(flow, segment, datagram, nowMs);
      return;
    }
    Decision decision = flow.tried().isEmpty() ? Decision.PLACED : Decision.PLACED_AGAIN;
    log.decided(decision, flow.id(), chosen.address(), reason, tables.ageOfState(nowMs));
    waiting.remove(flow.id());
    flow.openAt(chosen, pool.mostAreEjected(nowMs), nowMs);
    tables.send(flow, chosen, datagram);
  }

  private void rejectOverloaded(BalancerFlow flow, Segment segment, long nowMs) {
    if (flow.mayHaveBeenAccepted(nowMs)) {
      // If a target still has a copy, the last one that is given back leads to the reset.
      keepWithoutTarget(flow);
    } else {
      tables.remove(flow);
      resetOpening(segment, OpeningRetries.Rejection.OVERLOADED.reason(), nowMs);
    }
  }

  // The target that rejected the opening last neither holds the flow nor leaves it unanswered. The
  // client's next copy is placed like a new opening.
  private static void keepWithoutTarget(BalancerFlow flow) {
    if (!flow.hasTargetResponded()) {
      flow.moveTo(null);
    }
  }

  private void waitOrReject(BalancerFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    if (flow.isRejectedAsOverloaded() && flow.mayHaveBeenAccepted(nowMs)) {
      // The targets that were tried count towards the limit of placements.
      keepWithoutTarget(flow);
      return;
    }
    if (flow.hasOpeningsNotGivenBack()) {
      // A target may still accept the opening, and a reset could break the open flow.
      flow.clearTried();
      return;
    }
    tables.remove(flow);
    OpeningRetries.Rejection rejection = retries.rejectionOf(flow, nowMs);
    boolean waits =
        rejection == OpeningRetries.Rejection.MAY_WAIT && waitForTarget(segment, datagram, nowMs);
    if (!waits) {
      resetOpening(segment, rejection.reason(), nowMs);
    }
  }

  private boolean waitForTarget(Segment segment, ByteBuffer datagram, long nowMs) {
    if (waiting.contains(segment.flow())) {
      return true;
    }
    if (waiting.isFull()) {
      return false;
    }
    log.decided(Decision.HELD_FOR_TARGET, segment.flow(), 0, "no-target", tables.ageOfState(nowMs));
    waiting.addForTarget(segment, datagram, nowMs);
    return true;
  }

  private void resetOpening(Segment segment, String reason, long nowMs) {
    log.decided(Decision.RESET_NO_TARGET, segment.flow(), 0, reason, tables.ageOfState(nowMs));
    actions.reset(segment.flow(), segment.acknowledged());
  }

  // ---- openings given back by agents ----

  /** Handles an opening segment that an agent gave back. */
  void onGivenBack(
      int agentAddress,
      GiveBackReason reason,
      long agentVersion,
      Segment segment,
      ByteBuffer datagram,
      long nowMs) {
    BalancerFlow flow = tables.flow(segment.flow());
    if (flow != null) {
      flow.countOpeningGivenBack();
    }
    if (reason == GiveBackReason.OLD_CONFIGURATION) {
      removeUnlessOpen(flow);
      waitForConfiguration(agentAddress, agentVersion, segment, datagram, nowMs);
    } else if (flow != null && !flow.hasTargetResponded()) {
      // A flow that the client has continued was accepted, so its opening is not placed again.
      boolean wasPlacedThere = exclude(flow, agentAddress, reason, nowMs);
      if (reason == GiveBackReason.OVERLOADED) {
        flow.markRejectedAsOverloaded();
      }
      if (retries.isPlacedAgain(flow, wasPlacedThere)) {
        place(flow, segment, datagram, reason.name(), nowMs);
      }
    }
  }

  // Excludes the target of an agent; returns whether the flow was last placed there.
  private boolean exclude(BalancerFlow flow, int agentAddress, GiveBackReason reason, long nowMs) {
    TargetSlot target = flow.target();
    boolean wasPlacedThere = target != null && target.address() == agentAddress;
    // The source may have listed the target only after the segment was sent.
    TargetSlot rejecting = wasPlacedThere ? target : tables.slotAt(flow, agentAddress);
    if (rejecting != null) {
      flow.addRejecting(rejecting);
      retries.exclude(rejecting, reason, nowMs);
    }
    return wasPlacedThere;
  }

  // The flow is opened again under the newer configuration.
  private void removeUnlessOpen(@Nullable BalancerFlow flow) {
    if (flow != null && !flow.hasOpeningsNotGivenBack() && !flow.hasTargetResponded()) {
      tables.remove(flow);
    }
  }

  private void waitForConfiguration(
      int agentAddress, long version, Segment segment, ByteBuffer datagram, long nowMs) {
    if (version <= tables.configuration().version()) {
      open(segment, datagram, nowMs);
      return;
    }
    log.decided(
        Decision.HELD_FOR_CONFIGURATION,
        segment.flow(),
        agentAddress,
        "older-than-agent",
        tables.ageOfState(nowMs));
    waiting.addForConfiguration(segment, datagram, version, nowMs);
    actions.fetchState(agentAddress, version);
  }
}
