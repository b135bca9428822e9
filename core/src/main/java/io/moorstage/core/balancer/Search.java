package io.moorstage.core.balancer;

import io.moorstage.core.flow.Datagrams;
import io.moorstage.core.placement.TargetSlot;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;
import javax.annotation.Nullable;

/**
 * The state of the search for the target that holds one flow: the agents to query, the pending
 * queries and the candidates for offers. The rules are in {@link SearchQueries}, {@link
 * SearchOffers} and {@link SearchVerdict}. Guarded by the lock of {@link FlowBalancer}.
 */
final class Search {

  /** The stage of locating the target of a flow. */
  sealed interface Stage permits Idle, Searching, Unconfirmed, NotFound {}

  /** No search is in progress: the target is set, or no search has started yet. */
  record Idle() implements Stage {}

  /** A search is in progress. */
  sealed interface Searching extends Stage permits Querying, Offered {
    Search search();
  }

  /** The search waits for responses to queries, or pauses before it queries again. */
  record Querying(Search search) implements Searching {}

  /** A target has been offered a segment, and its agent has not given it back so far. */
  record Offered(Search search, TargetSlot target) implements Searching {}

  /**
   * The flow's target may hold the flow, but its agent has not reported that. The search goes on;
   * {@link UnconfirmedHolders} gives the cases.
   */
  record Unconfirmed(Search search) implements Stage {}

  /** The last search ended without a result: it neither located the flow nor proved it lost. */
  record NotFound() implements Stage {}

  /** The delay after which a tick counts as late, in milliseconds: two periods of 20 ms. */
  private static final int MAX_TICK_DELAY_MS = 40;

  private final BalancerFlow flow;
  private final int acknowledged;
  private final long startedAtMs;
  private final List<byte[]> heldSegments = new ArrayList<>(2);

  /** Addresses of all targets that may hold the flow, the most likely first. */
  private final List<Integer> byLikelihood = new ArrayList<>();

  /** Targets whose agents are still to be queried, the most likely first. */
  private final Deque<TargetSlot> toQuery = new ArrayDeque<>();

  /** Targets whose agents have been queried and may still respond. */
  private final List<TargetSlot> pending = new ArrayList<>();

  /** Targets that may hold the flow and whose agents have not responded in time. */
  private final List<TargetSlot> unresponsive = new ArrayList<>(0);

  /**
   * Targets that may be offered a segment: their agents could not rule out that they hold the flow.
   */
  private final List<TargetSlot> candidates = new ArrayList<>(0);

  /**
   * Targets that may hold the flow according to another node, but must not be offered a segment
   * since the flow's route is not known to have had their service.
   */
  private final List<TargetSlot> notOfferable = new ArrayList<>(0);

  /**
   * Targets of services that the flow's route may have had in a version of the configuration that
   * is not known. They must not be offered a segment, and their agents have not denied the flow.
   */
  private final List<TargetSlot> ofUnknownVersions = new ArrayList<>(0);

  private boolean balancersQueried;
  private boolean otherServicesQueried;
  private int nextRoundSize;
  private int offersInBatch;
  private int maxOffersInBatch;
  private long deadlineMs;
  private boolean postponed;

  Search(BalancerFlow flow, int acknowledged, long nowMs) {
    this.flow = flow;
    this.acknowledged = acknowledged;
    this.startedAtMs = nowMs;
  }

  BalancerFlow flow() {
    return flow;
  }

  /**
   * Returns the sequence number up to which the client has acknowledged the target's data. It is
   * sent in a reset.
   */
  int acknowledged() {
    return acknowledged;
  }

  long startedAtMs() {
    return startedAtMs;
  }

  /** Sets the end of the current wait: for responses, for an offer to be given back, or a pause. */
  void waitUntil(long newDeadlineMs) {
    deadlineMs = newDeadlineMs;
    postponed = false;
  }

  /**
   * Extends the current wait by a tick if it ended long ago and has not been extended before. The
   * balancer had no processor time then, and may not have read the responses that have arrived.
   *
   * @return whether the wait was extended
   */
  boolean postponeIfLate(long nowMs) {
    if (postponed || nowMs - deadlineMs <= MAX_TICK_DELAY_MS) {
      return false;
    }
    deadlineMs = nowMs;
    postponed = true;
    return true;
  }

  boolean isDue(long nowMs) {
    return deadlineMs <= nowMs;
  }

  /** Returns whether all agents have been queried and no response or offer is pending. */
  boolean hasNothingPending() {
    return toQuery.isEmpty() && pending.isEmpty() && flow.offeredTo() == null;
  }

  /** Holds a segment for the holder, unless {@code maxHeld} segments are held already. */
  void hold(ByteBuffer datagram, int maxHeld) {
    if (heldSegments.size() < maxHeld) {
      heldSegments.add(Datagrams.copyOf(datagram));
    }
  }

  /** Holds a segment that was given back, before all others. */
  void holdFirst(ByteBuffer datagram, int maxHeld) {
    if (heldSegments.size() == maxHeld) {
      heldSegments.remove(maxHeld - 1);
    }
    heldSegments.add(0, Datagrams.copyOf(datagram));
  }

  ByteBuffer offeredSegment() {
    return ByteBuffer.wrap(heldSegments.get(0));
  }

  /** Removes and returns the segment that is held first, or null if none is held. */
  @Nullable
  ByteBuffer pollHeld() {
    return heldSegments.isEmpty() ? null : ByteBuffer.wrap(heldSegments.remove(0));
  }

  boolean hasHeldSegments() {
    return !heldSegments.isEmpty();
  }

  /** Adds targets whose agents are to be queried, except those added before. */
  void addToQuery(List<TargetSlot> slots) {
    Set<Integer> known = new HashSet<>(byLikelihood);
    for (TargetSlot slot : slots) {
      if (known.add(slot.address())) {
        byLikelihood.add(slot.address());
        toQuery.add(slot);
      }
    }
  }

  /** Adds a target as the least likely one; returns false if it was added before. */
  boolean addLeastLikely(int address) {
    return !byLikelihood.contains(address) && byLikelihood.add(address);
  }

  /** Returns the rank of a target, 0 for the most likely holder; -1 if it was not added. */
  int likelihoodRank(int address) {
    return byLikelihood.indexOf(address);
  }

  boolean hasAgentsToQuery() {
    return !toQuery.isEmpty();
  }

  TargetSlot pollAgentToQuery() {
    return toQuery.remove();
  }

  void addPending(TargetSlot slot) {
    pending.add(slot);
  }

  /** Adds a target whose agent is unresponsive; the search does not wait for its response. */
  void addUnresponsive(TargetSlot slot) {
    unresponsive.add(slot);
  }

  /** Records that the other balancers are queried; returns false if they have been before. */
  boolean markBalancersQueried() {
    boolean isNew = !balancersQueried;
    balancersQueried = true;
    return isNew;
  }

  /**
   * Records that agents of all other services are queried; returns false if they have been before.
   */
  boolean markOtherServicesQueried() {
    boolean isNew = !otherServicesQueried;
    otherServicesQueried = true;
    return isNew;
  }

  /** Returns whether agents of services that the route is not known to have had are queried too. */
  boolean areOtherServicesQueried() {
    return otherServicesQueried;
  }

  int nextRoundSize() {
    return nextRoundSize;
  }

  /** Sets how many agents the next round queries. */
  void setNextRoundSize(int count) {
    nextRoundSize = count;
  }

  boolean hasPending() {
    return !pending.isEmpty();
  }

  /** Stops waiting for the agents that have not responded. */
  void markPendingUnresponsive() {
    unresponsive.addAll(pending);
    pending.clear();
  }

  /** Queues the agents that have not responded to be queried again; returns their number. */
  int requeueUnresponsive() {
    int count = unresponsive.size();
    toQuery.addAll(unresponsive);
    unresponsive.clear();
    return count;
  }

  /** Removes targets whose agents are still to be queried or have not responded in time. */
  void removeUnanswered(IntPredicate byAddress) {
    toQuery.removeIf(slot -> byAddress.test(slot.address()));
    unresponsive.removeIf(slot -> byAddress.test(slot.address()));
  }

  boolean hasUnresponsive() {
    return !unresponsive.isEmpty();
  }

  /**
   * Returns whether a target that must not be offered a segment, or whose agent is still to be
   * queried or has not responded, may hold the flow instead of the target at an address.
   */
  boolean mayBeHeldByOtherThan(int address) {
    return !otherServicesQueried
        || hasOther(toQuery, address)
        || hasOther(pending, address)
        || hasOther(unresponsive, address)
        || hasOther(notOfferable, address)
        || hasOther(ofUnknownVersions, address);
  }

  /** Returns whether a target other than one may still be offered a segment. */
  boolean hasOtherCandidateThan(int address) {
    return hasOther(candidates, address);
  }

  private static boolean hasOther(Collection<TargetSlot> slots, int address) {
    for (TargetSlot slot : slots) {
      if (slot.address() != address) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the address of a target that may hold the flow at the end of the search, the first one
   * whose agent has not responded in time if there is one; 0 if there is none.
   */
  int possibleHolderAddress() {
    if (!unresponsive.isEmpty()) {
      return unresponsive.get(0).address();
    }
    if (!ofUnknownVersions.isEmpty()) {
      return ofUnknownVersions.get(0).address();
    }
    return notOfferable.isEmpty() ? 0 : notOfferable.get(0).address();
  }

  /**
   * Removes and returns the target of an agent that has responded; null if no query was pending.
   */
  @Nullable
  TargetSlot removePending(int agentAddress) {
    TargetSlot slot = removeAt(pending, agentAddress);
    return slot == null ? removeAt(unresponsive, agentAddress) : slot;
  }

  /** Removes a target from all lists of queries, so that its agent can be queried again. */
  void cancelQuery(int agentAddress) {
    removeAt(toQuery, agentAddress);
    removeAt(unresponsive, agentAddress);
    removeAt(pending, agentAddress);
  }

  @Nullable
  private static TargetSlot removeAt(Collection<TargetSlot> slots, int address) {
    for (Iterator<TargetSlot> all = slots.iterator(); all.hasNext(); ) {
      TargetSlot slot = all.next();
      if (slot.address() == address) {
        all.remove();
        return slot;
      }
    }
    return null;
  }

  /** Adds a candidate, unless there is one with its address. */
  void addCandidate(TargetSlot slot) {
    for (TargetSlot candidate : candidates) {
      if (candidate.address() == slot.address()) {
        return;
      }
    }
    candidates.add(slot);
  }

  /** Adds a target that has been sent segments without a result; all other candidates go first. */
  void addCandidateAgain(TargetSlot slot) {
    byLikelihood.remove(Integer.valueOf(slot.address()));
    byLikelihood.add(slot.address());
    addCandidate(slot);
  }

  /** Adds a target that may hold the flow, but must not be offered a segment. */
  void addNotOfferable(TargetSlot slot) {
    removeAt(notOfferable, slot.address());
    notOfferable.add(slot);
  }

  /** Adds a target that may hold the flow if its route had the target's service before. */
  void addOfUnknownVersion(TargetSlot slot) {
    removeAt(ofUnknownVersions, slot.address());
    ofUnknownVersions.add(slot);
  }

  /** Removes targets whose service the flow's route is known not to have had since they started. */
  void removeOfUnknownVersions(IntPredicate byAddress) {
    ofUnknownVersions.removeIf(slot -> byAddress.test(slot.address()));
  }

  /** Returns whether a target may hold the flow that must not be offered a segment. */
  boolean hasNotOfferable() {
    return !notOfferable.isEmpty() || !ofUnknownVersions.isEmpty();
  }

  /** Removes a target that does not hold the flow from the candidates and the queries. */
  void exclude(int address) {
    removeAt(candidates, address);
    removeAt(notOfferable, address);
    removeAt(ofUnknownVersions, address);
    cancelQuery(address);
  }

  int candidateCount() {
    return candidates.size();
  }

  /** Removes and returns the most likely candidate; there must be at least one. */
  TargetSlot removeLikeliestCandidate() {
    TargetSlot likeliest = candidates.get(0);
    for (TargetSlot slot : candidates) {
      if (candidateRank(slot) < candidateRank(likeliest)) {
        likeliest = slot;
      }
    }
    candidates.remove(likeliest);
    return likeliest;
  }

  private int candidateRank(TargetSlot slot) {
    int rank = likelihoodRank(slot.address());
    return rank < 0 ? byLikelihood.size() : rank;
  }

  /** Returns whether no offer has been made since the search started or last paused. */
  boolean isBatchStart() {
    return offersInBatch == 0;
  }

  /** Returns whether another offer may be made before the search pauses. */
  boolean mayOfferInBatch() {
    return offersInBatch < maxOffersInBatch;
  }

  /** Sets how many offers may be made before the search pauses. */
  void setMaxOffersInBatch(int max) {
    maxOffersInBatch = max;
  }

  void countOffer() {
    offersInBatch++;
  }

  void resetBatch() {
    offersInBatch = 0;
  }
}
