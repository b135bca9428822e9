package io.moorstage.core.balancer;

import io.moorstage.core.message.AgentReport;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntPredicate;
import javax.annotation.Nullable;

/**
 * Tracks the agents that send beacons to a balancer and those that do not respond to its queries.
 * Guarded by the lock of {@link FlowBalancer}.
 *
 * <p>An agent is active if it has sent a beacon within {@code agentTimeoutMs}. An agent that is not
 * active need not be unresponsive, since agents send beacons to few balancers and do not answer
 * each beacon. It is unresponsive if it has left queries unanswered for longer than {@code
 * agentTimeoutMs} ({@link UnansweredQueries}), or has announced that it stops and has not returned
 * within that time. Silence alone shows nothing at a balancer that reads no other answers either.
 */
final class AgentDirectory {
  /** The assumed capacity, in concurrent requests, of a target that the source does not list. */
  private static final int UNLISTED_CAPACITY = 4;

  /** An answer that has not been read by then is lost; a balancer has read some 2.7 s late. */
  private static final int MAX_ANSWER_DELAY_MS = 10_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ForwardingPolicy policy;
  private final Map<Integer, KnownAgent> knownAgents = new HashMap<>();

  /** Whether an agent has ever sent a beacon; its entry may have been evicted. */
  private boolean hasHeardOfAgents;

  /** The unanswered queries by agent address. A beacon or a response removes the entry. */
  private final Map<Integer, UnansweredQueries> unanswered = new HashMap<>();

  /**
   * The send times of the queries that may still be answered by agent address, the oldest first. A
   * balancer without processor time reads answers late, when it has sent further queries.
   */
  private final Map<Integer, Deque<Long>> sentMs = new HashMap<>();

  /** The send time of the newest query that an agent has answered. */
  private long newestAnsweredMs = NEVER;

  /**
   * The time since which an agent's beacons have reported that its target's process has ended, by
   * agent address.
   */
  private final Map<Integer, Long> endedSinceMs = new HashMap<>();

  /**
   * An agent that has sent a beacon, whether or not the source lists its target.
   *
   * @param slot the target as the agent reports it, unlisted
   * @param lastBeaconAtMs the time of the last beacon, in milliseconds
   * @param stopping whether the agent has announced that it stops; it may be restarting
   */
  record KnownAgent(String service, TargetSlot slot, long lastBeaconAtMs, boolean stopping) {

    /** Returns whether the agent runs and has sent a beacon within a period. */
    boolean isActive(int periodMs, long nowMs) {
      return !stopping && nowMs - lastBeaconAtMs <= periodMs;
    }
  }

  AgentDirectory(ForwardingPolicy policy) {
    this.policy = policy;
  }

  /** Returns whether an agent has ever sent a beacon. */
  boolean hasHeardOfAgents() {
    return hasHeardOfAgents;
  }

  /**
   * Records a beacon.
   *
   * @return whether the agent was unknown or inactive before and is not stopping
   */
  boolean recordReport(AgentReport report, long nowMs) {
    hasHeardOfAgents = true;
    int address = report.address();
    KnownAgent known = knownAgents.get(address);
    boolean sameService = known != null && known.service().equals(report.service());
    TargetSlot slot =
        sameService ? known.slot() : unlistedSlot(address, report.service(), report.zone(), nowMs);
    boolean becameActive = !isActive(address, nowMs);
    knownAgents.put(address, new KnownAgent(report.service(), slot, nowMs, report.stopping()));
    unanswered.remove(address);
    if (report.targetEnded()) {
      endedSinceMs.putIfAbsent(address, nowMs);
    } else {
      endedSinceMs.remove(address);
    }
    if (report.stopping()) {
      // The agent becomes unresponsive unless it returns within agentTimeoutMs, as after a restart.
      unanswered.put(address, UnansweredQueries.ofStopping(policy.search(), nowMs));
    }
    return becameActive && !report.stopping();
  }

  /**
   * Returns whether the last beacon of an agent reported that its target's process has ended, and
   * no other start of a target has been listed at its address since. The target then holds no flow,
   * and no search has to wait for the agent.
   */
  boolean hasTargetEnded(int agentAddress) {
    return endedSinceMs.containsKey(agentAddress);
  }

  /**
   * Discards the reports that a target has ended at the addresses where another start of a target
   * is listed now. A report names no start, so it may be that of the predecessor, and the next
   * beacon of the successor's agent may be long in coming.
   *
   * @param isReplaced whether another start is listed at an address since the last state
   */
  void discardEndsOfReplaced(IntPredicate isReplaced) {
    endedSinceMs.keySet().removeIf(isReplaced::test);
  }

  private static TargetSlot unlistedSlot(
      int agentAddress, String service, String zone, long nowMs) {
    String id = "agent-" + Integer.toHexString(agentAddress);
    return new TargetSlot(
        new TargetRecord(
            id, service, agentAddress, zone, UNLISTED_CAPACITY, TargetPhase.READY, 0, 0, 0),
        nowMs);
  }

  /** Records a query to an agent. Agents respond to each query, also for flows they do not know. */
  void recordQuery(int agentAddress, long nowMs) {
    UnansweredQueries queries = unanswered.get(agentAddress);
    if (queries == null) {
      unanswered.put(agentAddress, UnansweredQueries.first(policy.search(), nowMs));
    } else {
      queries.add(nowMs);
    }
    Deque<Long> times = sentMs.computeIfAbsent(agentAddress, address -> new ArrayDeque<>());
    removeLost(times, nowMs);
    times.add(nowMs);
  }

  /** Records an agent's response to a query. */
  void recordResponse(int agentAddress) {
    unanswered.remove(agentAddress);
    Deque<Long> times = sentMs.get(agentAddress);
    if (times != null && !times.isEmpty()) {
      // If an earlier answer was lost, this one is to a later query.
      newestAnsweredMs = Math.max(newestAnsweredMs, times.remove());
    }
  }

  private static void removeLost(Deque<Long> times, long nowMs) {
    while (!times.isEmpty() && nowMs - times.element() > MAX_ANSWER_DELAY_MS) {
      times.remove();
    }
  }

  /** Returns whether an agent has sent a beacon within {@code agentTimeoutMs}. */
  boolean isActive(int agentAddress, long nowMs) {
    KnownAgent agent = knownAgents.get(agentAddress);
    return agent != null && agent.isActive(policy.search().agentTimeoutMs(), nowMs);
  }

  /**
   * Returns whether an agent has left queries unanswered for longer than {@code agentTimeoutMs} and
   * is not active.
   */
  boolean isUnresponsive(int agentAddress, long nowMs) {
    UnansweredQueries queries = unanswered.get(agentAddress);
    return queries != null
        && queries.showUnresponsive(newestAnsweredMs, nowMs)
        && !isActive(agentAddress, nowMs);
  }

  @Nullable
  KnownAgent get(int agentAddress) {
    return knownAgents.get(agentAddress);
  }

  /** Returns all agents that have sent a beacon, including those that are not active. */
  Collection<KnownAgent> all() {
    return knownAgents.values();
  }

  /** Returns how many agents have sent a beacon within {@code agentTimeoutMs}. */
  int activeCount(long nowMs) {
    int count = 0;
    for (KnownAgent agent : knownAgents.values()) {
      if (agent.isActive(policy.search().agentTimeoutMs(), nowMs)) {
        count++;
      }
    }
    return count;
  }

  /**
   * Returns whether agents have sent beacons, but none of them within the last {@code periodMs}
   * milliseconds.
   */
  boolean hasLostAll(int periodMs, long nowMs) {
    for (KnownAgent agent : knownAgents.values()) {
      if (agent.isActive(periodMs, nowMs)) {
        return false;
      }
    }
    return hasHeardOfAgents;
  }

  /** Evicts all entries older than {@code goneTargetMs}. */
  void sweep(long nowMs) {
    int retentionMs = policy.retention().goneTargetMs();
    knownAgents.values().removeIf(agent -> nowMs - agent.lastBeaconAtMs() > retentionMs);
    endedSinceMs.values().removeIf(sinceMs -> nowMs - sinceMs > retentionMs);
    unanswered.values().removeIf(queries -> nowMs - queries.firstMs() > retentionMs);
    sentMs.values().forEach(times -> removeLost(times, nowMs));
    sentMs.values().removeIf(Deque::isEmpty);
  }
}
