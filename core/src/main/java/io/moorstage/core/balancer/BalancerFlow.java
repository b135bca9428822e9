package io.moorstage.core.balancer;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.placement.TargetSlot;
import java.util.ArrayList;
import java.util.List;
import javax.annotation.Nullable;

/**
 * The state of one flow in a balancer's flow table. Guarded by the lock of {@link FlowBalancer}.
 */
final class BalancerFlow {
  private static final Search.Stage IDLE = new Search.Idle();
  private static final Search.Stage NOT_FOUND = new Search.NotFound();

  /** When clients send the copies of an opening, in milliseconds after the first one. */
  private static final int[] COPY_DELAYS_MS = {0, 200, 600};

  private final FlowId id;
  private final String service;

  @Nullable private TargetSlot target;

  /** Targets that did not respond to the opening segment or whose agent gave it back. */
  private final List<TargetSlot> tried = new ArrayList<>(0);

  /** Targets that may have accepted the opening, although a later copy was sent to another one. */
  private final List<TargetSlot> unanswered = new ArrayList<>(0);

  /**
   * Addresses of targets whose agent gave back a segment after the opening: they do not hold the
   * flow.
   */
  private final List<Integer> nonHolders = new ArrayList<>(0);

  /**
   * Whether the target is known to hold the flow: an agent has reported it, or the client has
   * continued a flow that this balancer opened.
   */
  private boolean confirmed;

  private int openingsNotGivenBack;

  private boolean rejectedAsOverloaded;

  /** Whether this balancer has seen a copy of the opening, but not all earlier ones. */
  private boolean missesEarlierCopies;

  /** The number of the first copy after all that this balancer has seen. */
  private int nextCopy;

  private final long createdAtMs;

  private long openedAtMs;
  private long lastUsedMs;
  private boolean closed;

  private boolean targetResponded;
  @Nullable private ForwardTerms terms;

  /** The period of the client order in the terms. */
  private long orderPeriod;

  private boolean overridesEjection;
  private Search.Stage stage = IDLE;

  /**
   * The number of segments, over all searches, that were sent to unconfirmed targets while an agent
   * that may know the flow had not responded.
   */
  private int speculativeSegments;

  /**
   * The targets of the segments that were sent without proof that the target holds the flow, and
   * that have not been returned. A target occurs once for each segment.
   */
  private final List<Integer> unresolved = new ArrayList<>(0);

  private BalancerFlow(FlowId id, String service, boolean targetResponded, long nowMs) {
    this.id = id;
    this.service = service;
    this.targetResponded = targetResponded;
    this.createdAtMs = nowMs;
    this.openedAtMs = nowMs;
    this.lastUsedMs = nowMs;
  }

  /** Creates a flow that a client is opening. */
  static BalancerFlow opening(FlowId id, String service, long nowMs) {
    return new BalancerFlow(id, service, false, nowMs);
  }

  /** Creates an open flow whose target this balancer does not know. */
  static BalancerFlow unknown(FlowId id, String service, long nowMs) {
    return new BalancerFlow(id, service, true, nowMs);
  }

  FlowId id() {
    return id;
  }

  String service() {
    return service;
  }

  /** Returns the target that the flow's segments are sent to, or null if it is unknown. */
  @Nullable
  TargetSlot target() {
    return target;
  }

  /** Returns the target if it is known to hold the flow, otherwise null. */
  @Nullable
  TargetSlot confirmedTarget() {
    return confirmed && !isSearching() ? target : null;
  }

  long openedAtMs() {
    return openedAtMs;
  }

  long lastUsedMs() {
    return lastUsedMs;
  }

  boolean isClosed() {
    return closed;
  }

  /**
   * Returns whether the client has sent a segment after the opening, which implies that a target
   * has accepted the opening.
   */
  boolean hasTargetResponded() {
    return targetResponded;
  }

  /** Returns whether the target has to accept the flow although it is ejected. */
  boolean overridesEjection() {
    return overridesEjection;
  }

  /** Returns the terms that accompany the flow's segments, or null before the first segment. */
  @Nullable
  ForwardTerms terms() {
    return terms;
  }

  /** Returns the number of the period whose client order the terms contain. */
  long orderPeriod() {
    return orderPeriod;
  }

  void setTerms(ForwardTerms newTerms, long newOrderPeriod) {
    terms = newTerms;
    orderPeriod = newOrderPeriod;
  }

  /** Records that the client has sent a segment. */
  void markUsed(long nowMs) {
    lastUsedMs = nowMs;
  }

  /** Records that the client has sent a segment after the opening. */
  void markContinued() {
    targetResponded = true;
  }

  /**
   * Records that the client has sent a segment after the opening.
   *
   * @return whether this confirms the target as the holder: no other target may have accepted a
   *     copy of the opening
   */
  boolean confirmByClient() {
    markContinued();
    confirmed = unanswered.isEmpty() && !missesEarlierCopies;
    return confirmed;
  }

  /** Records that the client has closed or reset the flow. */
  void close() {
    if (!closed) {
      if (target != null) {
        target.removeFlow();
      }
      closed = true;
    }
  }

  /**
   * Moves the flow to the target that a peer has named as its holder.
   *
   * @param isConfirmed whether the holder's own agent reported it, rather than another balancer
   */
  void setHolder(TargetSlot holder, boolean isConfirmed) {
    confirmed = isConfirmed;
    moveTo(holder);
  }

  /** Sends the flow's further segments to another target; null if its target is unknown. */
  void moveTo(@Nullable TargetSlot next) {
    if (target == next) {
      return;
    }
    if (target != null && !closed) {
      target.removeFlow();
    }
    target = next;
    if (next != null && !closed) {
      next.addFlow();
    }
  }

  /**
   * Records that the agent of a target has given back a segment after the opening, so the target
   * does not hold the flow.
   */
  void addNonHolder(int address) {
    if (!nonHolders.contains(address)) {
      nonHolders.add(address);
    }
    addWrongService(address);
  }

  /**
   * Records that an agent has given back a segment that it has not delivered, since its target
   * belongs to another service than the one that the segment was sent for.
   */
  void addWrongService(int address) {
    unanswered.removeIf(slot -> slot.address() == address);
    resolveSegments(address);
  }

  boolean isNonHolder(int address) {
    return nonHolders.contains(address);
  }

  // ---- the opening ----

  /** Records that the opening segment is sent to a target. */
  void openAt(TargetSlot next, boolean newOverridesEjection, long nowMs) {
    moveTo(next);
    overridesEjection = newOverridesEjection;
    openedAtMs = nowMs;
    openingsNotGivenBack++;
  }

  /** Counts a retransmission of the opening segment that is sent to the same target. */
  void countRetransmission() {
    openingsNotGivenBack++;
  }

  /** Returns how many copies of the opening may be at targets that do not hold the flow. */
  int openingsAtOtherTargets() {
    return missesEarlierCopies ? openingsNotGivenBack : openingsNotGivenBack - 1;
  }

  /** Counts an opening segment that an agent has given back. */
  void countOpeningGivenBack() {
    openingsNotGivenBack--;
  }

  /** Returns whether a target may still accept an opening segment that was sent to it. */
  boolean hasOpeningsNotGivenBack() {
    return openingsNotGivenBack > 0;
  }

  /** Records that the client has sent a copy of the opening through this balancer. */
  void recordCopy(int copy) {
    if (copy >= nextCopy) {
      missesEarlierCopies |= copy > nextCopy;
      nextCopy = copy + 1;
    }
  }

  /**
   * Returns whether a target may have accepted the flow or may still accept a copy of its opening,
   * as far as this balancer can know. A copy that is due but has not arrived may have gone to a
   * target through another balancer.
   */
  boolean mayHaveBeenAccepted(long nowMs) {
    boolean missesDueCopy =
        nextCopy < COPY_DELAYS_MS.length && nowMs - createdAtMs >= COPY_DELAYS_MS[nextCopy];
    return targetResponded || missesEarlierCopies || missesDueCopy || hasOpeningsNotGivenBack();
  }

  /** Records that an agent has given back the opening since its target is overloaded. */
  void markRejectedAsOverloaded() {
    rejectedAsOverloaded = true;
  }

  boolean isRejectedAsOverloaded() {
    return rejectedAsOverloaded;
  }

  /** Returns the targets that did not respond to the opening or whose agent gave it back. */
  List<TargetSlot> tried() {
    return tried;
  }

  /** Adds a target that has left the opening unanswered, so that it is sent to another one. */
  void addUnanswered(TargetSlot slot) {
    tried.add(slot);
    unanswered.add(slot);
  }

  /** Adds a target whose agent has given the opening back. */
  void addRejecting(TargetSlot slot) {
    if (!tried.contains(slot)) {
      tried.add(slot);
    }
    unanswered.remove(slot);
  }

  void clearTried() {
    tried.clear();
  }

  /**
   * Moves the flow to the target that has left the opening unanswered last, if there is one.
   *
   * @return whether there is one
   */
  boolean moveToLastUnanswered() {
    if (unanswered.isEmpty()) {
      return false;
    }
    // Any of these targets may have accepted the opening.
    confirmed = false;
    moveTo(unanswered.remove(unanswered.size() - 1));
    return true;
  }

  // ---- the search ----

  boolean isSearching() {
    return search() != null;
  }

  /** Returns the search in progress, or null. */
  @Nullable
  Search search() {
    // Nearly every segment takes this branch. The identity check avoids a failing type test against
    // an interface, which raised the cost of a segment from 570 ns to some 1,000 ns (mean of
    // ForwardingBenchmark with 300,000 flows in random order).
    if (stage == IDLE) {
      return null;
    }
    return stage instanceof Search.Searching searching ? searching.search() : null;
  }

  /** Returns the target of the pending offer, or null. */
  @Nullable
  TargetSlot offeredTo() {
    return stage instanceof Search.Offered offered ? offered.target() : null;
  }

  /** Returns the search that goes on while the target is not confirmed as the holder, or null. */
  @Nullable
  Search unconfirmedSearch() {
    return stage instanceof Search.Unconfirmed unconfirmed ? unconfirmed.search() : null;
  }

  /** Returns whether the last search ended without a result. */
  boolean isNotFound() {
    return stage instanceof Search.NotFound;
  }

  int speculativeSegments() {
    return speculativeSegments;
  }

  void countSpeculativeSegment() {
    speculativeSegments++;
  }

  /** Returns the number of segments at targets that have neither confirmed nor returned them. */
  int unresolvedSegments() {
    return unresolved.size();
  }

  void addUnresolvedSegment(int address) {
    unresolved.add(address);
  }

  /** Records that a target does not hold the flow, so that its segments are no longer counted. */
  void resolveSegments(int address) {
    unresolved.removeIf(target -> target == address);
  }

  /** Starts or resumes a search; the flow's target is unknown from then on. */
  void beginSearch(Search search) {
    requireStage(!isSearching());
    moveTo(null);
    confirmed = false;
    stage = new Search.Querying(search);
  }

  /** Records that a segment is offered to a target. */
  void offerTo(TargetSlot offered) {
    if (!(stage instanceof Search.Querying querying)) {
      throw new IllegalStateException("Cannot offer a segment in stage " + stage);
    }
    stage = new Search.Offered(querying.search(), offered);
  }

  /** Records that the agent of the target has given back the offered segment. */
  void markOfferGivenBack() {
    stage = new Search.Querying(offered().search());
  }

  /** Ends the search because the flow was located or lost. */
  void endSearch() {
    requireStage(stage != IDLE);
    stage = IDLE;
    speculativeSegments = 0;
    unresolved.clear();
  }

  /** Assumes that the target of the pending offer holds the flow, as it kept the segment. */
  void assumeOfferKept() {
    assumeHolder(offered().target());
  }

  /** Assumes that a target holds the flow until its agent reports or denies that. */
  void assumeHolder(TargetSlot assumed) {
    requireStage(isSearching());
    stage = new Search.Unconfirmed(search());
    moveTo(assumed);
  }

  /** Ends the search without a result; the flow's target is unknown from then on. */
  void giveUpSearch() {
    requireStage(isSearching() || unconfirmedSearch() != null);
    moveTo(null);
    stage = NOT_FOUND;
  }

  private Search.Offered offered() {
    if (stage instanceof Search.Offered offered) {
      return offered;
    }
    throw new IllegalStateException("No pending offer in stage " + stage);
  }

  private void requireStage(boolean isAllowed) {
    if (!isAllowed) {
      throw new IllegalStateException("Operation not allowed in stage " + stage);
    }
  }
}
