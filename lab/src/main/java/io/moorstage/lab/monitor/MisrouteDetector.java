package io.moorstage.lab.monitor;

import io.moorstage.core.flow.FlowId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds open flows whose packets reach only other targets than their own for too long. Not
 * thread-safe; {@link RuleMonitor} guards it.
 */
final class MisrouteDetector {
  /** The platform's window, and the number of packets that it tolerates in it. */
  static final int WINDOW_MS = 2_000;

  static final int MIN_PACKETS = 3;

  /** Flows may be forgotten at this age. */
  static final int MAX_FLOW_MS = 60_000;

  private final Set<Integer> clientPorts = new HashSet<>();
  private final Map<Integer, OpenFlow> flows = new HashMap<>();
  private final Map<String, Long> machineFaultUntilMs = new HashMap<>();

  private long longestMs;

  private static final class OpenFlow {
    private final FlowId id;
    private final WatchedTarget target;
    private final long openedMs;
    private final Set<String> otherTargets = new TreeSet<>();
    private long misroutedSinceMs;
    private int misrouted;
    private int openings;

    OpenFlow(FlowId id, WatchedTarget target, long openedMs) {
      this.id = id;
      this.target = target;
      this.openedMs = openedMs;
    }

    boolean hasDroppedRoute() {
      return target.wasRouteDroppedSince(id.serviceAddress(), openedMs);
    }

    void restart() {
      misrouted = 0;
      openings = 0;
      otherTargets.clear();
    }
  }

  /** Records that a client opens a flow. */
  void recordClientFlow(int port) {
    clientPorts.add(port);
  }

  /** Records that the target has got the packet that acknowledges its acceptance. */
  void recordOpened(FlowId id, WatchedTarget target, long nowMs) {
    // A starved balancer may forward this packet after the client has given up the flow.
    if (clientPorts.contains(id.clientPort())) {
      flows.put(id.clientPort(), new OpenFlow(id, target, nowMs));
    }
  }

  /** Records a fault of a machine, and the time up to which it is present. */
  void recordMachineFault(String address, long untilMs) {
    machineFaultUntilMs.merge(address, untilMs, Math::max);
  }

  /**
   * Records that a client sends a new request. Copies of earlier packets that have reached other
   * targets since the last response have delayed nothing, and the client has sent none while it
   * rested.
   */
  void recordRequest(int port) {
    OpenFlow flow = flows.get(port);
    if (flow != null) {
      flow.restart();
    }
  }

  /** Records a packet that a target receives; returns a description of the breach, if any. */
  Optional<String> recordPacket(FlowId id, boolean isOpening, WatchedTarget target, long nowMs) {
    OpenFlow flow = flows.get(id.clientPort());
    if (flow == null) {
      return Optional.empty();
    }
    if (flow.target.equals(target)) {
      Optional<String> breach = check(flow, nowMs);
      flow.restart();
      return breach;
    }
    if (flow.misrouted++ == 0) {
      flow.misroutedSinceMs = nowMs;
    }
    flow.openings += isOpening ? 1 : 0;
    flow.otherTargets.add(target.start().id());
    return check(flow, nowMs);
  }

  /** Records that a client's flow has ended; returns a description of the breach, if any. */
  Optional<String> recordEnd(int port, long nowMs) {
    clientPorts.remove(port);
    OpenFlow flow = flows.remove(port);
    return flow == null ? Optional.empty() : check(flow, nowMs);
  }

  /**
   * Returns the longest time for which enough packets of a flow for a breach have reached only
   * other targets, in milliseconds. Shows how close to a breach a run without one has come.
   */
  long longestMs() {
    return longestMs;
  }

  private Optional<String> check(OpenFlow flow, long nowMs) {
    if (flow.misrouted < MIN_PACKETS || !isJudged(flow, nowMs)) {
      return Optional.empty();
    }
    longestMs = Math.max(longestMs, nowMs - flow.misroutedSinceMs);
    if (nowMs - flow.misroutedSinceMs < WINDOW_MS) {
      return Optional.empty();
    }
    String detail =
        String.format(
            "flow=%s of %s: %d packets (%d openings) at %s in %d ms",
            flow.id,
            flow.target.start().id(),
            flow.misrouted,
            flow.openings,
            flow.otherTargets,
            nowMs - flow.misroutedSinceMs);
    flow.restart();
    return Optional.of(detail);
  }

  /** Returns whether a flow is open whose route has been dropped since it opened. */
  boolean isOfDroppedRoute(int port) {
    OpenFlow flow = flows.get(port);
    return flow != null && flow.hasDroppedRoute();
  }

  private boolean isJudged(OpenFlow flow, long nowMs) {
    String machine = flow.target.start().address();
    long faultUntilMs = machineFaultUntilMs.getOrDefault(machine, 0L);
    return flow.target.isAlive()
        && nowMs - flow.openedMs <= MAX_FLOW_MS
        && flow.misroutedSinceMs - faultUntilMs > RuleMonitor.PROPAGATION_LIMIT_MS
        && !flow.hasDroppedRoute();
  }
}
