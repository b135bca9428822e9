package io.moorstage.lab.monitor;

import io.moorstage.core.flow.FlowId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Checks the {@linkplain Rule rules} of a run by the events that clients, targets and the operator
 * report. docs/SOAK.md lists the corresponding rules of the platform. Thread-safe.
 */
public final class RuleMonitor {
  /**
   * The time within which a drain, an evacuation or a configuration must take effect everywhere,
   * measured from the change or from the last fault, whichever is later.
   */
  public static final int PROPAGATION_LIMIT_MS = 5_000;

  /** One fault can break a rule for every flow; the first breaches are enough to diagnose it. */
  private static final int MAX_BREACHES = 100;

  private final LongSupplier clockMs;
  private final MisrouteDetector misroutes = new MisrouteDetector();
  private final Set<String> sentPackets = new HashSet<>();
  private final Map<Long, String> targetsByRequest = new HashMap<>();
  private final List<String> breaches = new ArrayList<>();
  private long lastFaultMs;
  private long faults;
  private long served;
  private long failed;

  /** Creates a monitor that uses the system's clock. */
  public RuleMonitor() {
    this(System::currentTimeMillis);
  }

  /** Creates a monitor with a clock that returns milliseconds since the epoch. */
  RuleMonitor(LongSupplier clockMs) {
    this.clockMs = clockMs;
  }

  /**
   * Records a packet that a client sends. A packet that reaches a target without having been
   * recorded here was changed or made up on the way.
   *
   * @param immutableContent the content of the packet that must arrive unchanged
   */
  public synchronized void recordSentPacket(String immutableContent) {
    sentPackets.add(immutableContent);
  }

  /**
   * Records a fault, or the end of one.
   *
   * @param untilMs the time up to which the fault is present, in milliseconds since the epoch
   */
  public synchronized void recordFault(long untilMs) {
    faults++;
    lastFaultMs = Math.max(lastFaultMs, untilMs);
  }

  /**
   * Records a fault of the balancer or agent of a machine, which may keep the flows of its target
   * from being found.
   *
   * @param untilMs the time up to which the fault is present, in milliseconds since the epoch
   */
  public synchronized void recordMachineFault(String address, long untilMs) {
    misroutes.recordMachineFault(address, untilMs);
  }

  /** Records that a client opens a flow from a port. */
  synchronized void recordClientFlow(int port) {
    misroutes.recordClientFlow(port);
  }

  /** Records that a client sends a request for the first time. */
  synchronized void recordRequest(int port) {
    misroutes.recordRequest(port);
  }

  /** Records that a client's flow has ended, for any reason. */
  synchronized void recordClientFlowEnd(int port) {
    misroutes.recordEnd(port, clockMs.getAsLong()).ifPresent(this::recordMisroutedFlow);
  }

  /** Records that a target has got the packet that acknowledges its acceptance of a flow. */
  synchronized void recordOpenedFlow(FlowId flow, WatchedTarget target) {
    misroutes.recordOpened(flow, target, clockMs.getAsLong());
  }

  /** Records which target receives a packet of a flow. */
  synchronized void recordPacketOfFlow(FlowId flow, boolean isOpening, WatchedTarget target) {
    misroutes
        .recordPacket(flow, isOpening, target, clockMs.getAsLong())
        .ifPresent(this::recordMisroutedFlow);
  }

  /** Returns whether a client's flow is open, but its route has been dropped since it opened. */
  synchronized boolean isOfDroppedRoute(int port) {
    return misroutes.isOfDroppedRoute(port);
  }

  private void recordMisroutedFlow(String detail) {
    recordBreach(Rule.MISROUTED_FLOW, detail);
  }

  /**
   * Returns whether no fault has been present since {@link #PROPAGATION_LIMIT_MS} before a time.
   */
  public synchronized boolean isFreeOfFaultsSince(long sinceMs) {
    return sinceMs - lastFaultMs > PROPAGATION_LIMIT_MS;
  }

  /** Returns whether a change that was acknowledged at some time must have taken effect by now. */
  public synchronized boolean mustBeEffective(long acknowledgedAtMs, long nowMs) {
    return nowMs - Math.max(acknowledgedAtMs, lastFaultMs) > PROPAGATION_LIMIT_MS;
  }

  /**
   * Records a packet that a target receives, and a breach if no client has sent it.
   *
   * @param immutableContent the content of the packet that must arrive unchanged
   */
  public synchronized void recordReceivedPacket(String immutableContent, String target) {
    if (!sentPackets.contains(immutableContent)) {
      recordBreach(Rule.CHANGED_PACKET, "at " + target);
    }
  }

  /** Records that a target runs a request, and a breach if the request has run before. */
  public synchronized void recordRun(long request, String target) {
    String previous = targetsByRequest.putIfAbsent(request, target);
    if (previous != null) {
      recordBreach(Rule.RAN_TWICE, "request " + request + " at " + previous + " and " + target);
    }
  }

  /** Records that a client received the response to its request. */
  public synchronized void recordServedRequest() {
    served++;
  }

  /** Records that a client's flow ended before its requests were served. */
  public synchronized void recordFailedFlow() {
    failed++;
  }

  /** Records that a rule was broken. */
  public synchronized void recordBreach(Rule rule, String detail) {
    if (breaches.size() < MAX_BREACHES) {
      breaches.add(System.currentTimeMillis() + " " + rule + ": " + detail);
    }
  }

  /** Returns the first breaches, each with its time in milliseconds since the epoch. */
  public synchronized List<String> breaches() {
    return List.copyOf(breaches);
  }

  /** Returns the number of requests served so far. */
  public synchronized long servedCount() {
    return served;
  }

  /** Returns the number of flows that have failed so far. */
  public synchronized long failedCount() {
    return failed;
  }

  /** Returns the counts in one line. */
  public synchronized String summary() {
    String counts = "served=" + served + " failed=" + failed + " troubles=" + faults;
    return counts + " longest-misroute-ms=" + misroutes.longestMs();
  }
}
