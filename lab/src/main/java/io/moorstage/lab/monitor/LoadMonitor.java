package io.moorstage.lab.monitor;

import io.moorstage.lab.client.ClientFlow;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/**
 * Checks the rules of a fleet under load: {@link Rule#URGENT_WAITED}, {@link Rule#LATE_REJECTION},
 * {@link Rule#FALSE_REJECTION} and {@link Rule#IDLE_TARGET}. Only requests and rejections that are
 * free of faults from {@link RuleMonitor#PROPAGATION_LIMIT_MS} before their start count; a flow
 * that runs although it was rejected always does. Thread-safe.
 */
public final class LoadMonitor {
  /**
   * A balancer may take a target as busy until the last report of it expires after 500 ms, and an
   * agent may reserve a place for an opening for 50 ms; the rest allows for scheduling.
   */
  static final int IDLE_LIMIT_MS = 600;

  /** Fraction of the rejected openings that must be reset in time. */
  private static final double IN_TIME_REJECTIONS = 0.95;

  /** Rejections are in time within the objective divided by this. */
  private static final int OBJECTIVE_TO_REJECTION = 4;

  /** With fewer rejections, a single late one would exceed the allowed fraction. */
  static final int MIN_REJECTIONS = 20;

  /** Fraction of requests of priority 2 in time at which one of priority 1 must be, too. */
  private static final double MOST = 0.8;

  /** Fewer requests of priority 2 in a second do not show whether there was room. */
  static final int MIN_REQUESTS = 10;

  private static final int URGENT = 1;
  private static final int MS_PER_S = 1_000;

  private final RuleMonitor monitor;
  private final IntFunction<Optional<RequestKind>> kinds;
  private final Supplier<Collection<WatchedTarget>> targets;
  private final Set<Integer> rejectedPorts = new HashSet<>();
  private final Map<String, Long> reportedIdleSince = new HashMap<>();
  private final Map<String, Second> seconds = new TreeMap<>();
  private long rejections;
  private long lateRejections;
  private long allRejections;

  /** The requests of one service that were first attempted within one second. */
  private static final class Second {
    private int urgent;
    private int urgentLate;
    private int other;
    private int otherInTime;
  }

  /**
   * Creates a monitor.
   *
   * @param monitor receives the breaches and knows the faults
   * @param kinds returns the kind of the requests of a route's address; empty if it is not watched
   * @param targets returns the current targets
   */
  public LoadMonitor(
      RuleMonitor monitor,
      IntFunction<Optional<RequestKind>> kinds,
      Supplier<Collection<WatchedTarget>> targets) {
    this.monitor = monitor;
    this.kinds = kinds;
    this.targets = targets;
  }

  /** Records that a client opens a flow, whose port may have been that of an earlier flow. */
  synchronized void recordOpening(ClientFlow flow) {
    rejectedPorts.remove(flow.port());
  }

  /** Records that a flow was reset before a target had accepted it. */
  void recordRejection(ClientFlow flow, long nowMs) {
    synchronized (this) {
      rejectedPorts.add(flow.port());
      allRejections++;
    }
    Optional<RequestKind> kind = kinds.apply(flow.service().address());
    if (kind.isPresent() && monitor.isFreeOfFaultsSince(flow.openedMs())) {
      checkRejection(kind.get(), flow.openedMs(), nowMs);
    }
  }

  private void checkRejection(RequestKind kind, long openedMs, long nowMs) {
    // Read before this monitor's lock is taken, since targets call back while they are locked.
    Map<String, Long> idleSince = new HashMap<>();
    boolean isServed = false;
    for (WatchedTarget target : targets.get()) {
      if (target.start().service().equals(kind.service()) && target.mustTakeNewFlows(nowMs)) {
        isServed = true;
        idleSince.put(target.start().id(), target.target().idleSinceMs());
      }
    }
    // Without a target, openings wait at the balancer for one, and are not rejected as overload.
    if (!isServed) {
      return;
    }
    synchronized (this) {
      rejections++;
      if (nowMs - openedMs > kind.objectiveMs() / OBJECTIVE_TO_REJECTION) {
        lateRejections++;
      }
      idleSince.forEach((id, sinceMs) -> checkIdle(id, sinceMs, nowMs));
    }
  }

  private void checkIdle(String id, long idleSinceMs, long nowMs) {
    boolean isIdle = idleSinceMs < nowMs - IDLE_LIMIT_MS;
    boolean isNew = !Long.valueOf(idleSinceMs).equals(reportedIdleSince.get(id));
    if (isIdle && isNew) {
      reportedIdleSince.put(id, idleSinceMs);
      monitor.recordBreach(Rule.IDLE_TARGET, id + " for " + (nowMs - idleSinceMs) + " ms");
    }
  }

  /** Records that a client got an acceptance of a flow that had ended. */
  synchronized void recordLateAcceptance(int port, long nowMs) {
    if (rejectedPorts.contains(port) && monitor.isFreeOfFaultsSince(nowMs)) {
      monitor.recordBreach(Rule.FALSE_REJECTION, "port " + port + " was accepted after its reset");
    }
  }

  /** Records that a target runs a request of a flow. */
  synchronized void recordRun(int port, String target) {
    if (rejectedPorts.contains(port)) {
      monitor.recordBreach(Rule.FALSE_REJECTION, "port " + port + " ran at " + target);
    }
  }

  /** Records the end of a request, after its last attempt. */
  void recordEnd(ClientFlow flow, boolean served, long nowMs) {
    Optional<RequestKind> kind = kinds.apply(flow.service().address());
    long startMs = flow.attemptedMs();
    if (kind.isEmpty() || !monitor.isFreeOfFaultsSince(startMs)) {
      return;
    }
    boolean isInTime = served && nowMs - startMs <= kind.get().objectiveMs();
    boolean wasSlow = flow.target().isPresent() && flow.target().get().wasSlowSince(startMs);
    String key = String.format("%d %s", startMs / MS_PER_S, kind.get().service());
    synchronized (this) {
      Second second = seconds.computeIfAbsent(key, unused -> new Second());
      if (kind.get().priority() != URGENT) {
        second.other++;
        second.otherInTime += isInTime ? 1 : 0;
      } else if (isInTime || !wasSlow) {
        // A request that a slow target holds is late whatever its order.
        second.urgent++;
        second.urgentLate += isInTime ? 0 : 1;
      }
    }
  }

  /** Checks the rules that need all requests of a second, or all rejections; called once. */
  public synchronized void checkAll() {
    seconds.forEach(this::checkSecond);
    if (rejections >= MIN_REJECTIONS
        && rejections - lateRejections < IN_TIME_REJECTIONS * rejections) {
      String detail = lateRejections + " of " + rejections + " rejections were late";
      monitor.recordBreach(Rule.LATE_REJECTION, detail);
    }
  }

  private void checkSecond(String key, Second second) {
    boolean mostInTime = second.other >= MIN_REQUESTS && second.otherInTime >= MOST * second.other;
    if (mostInTime && second.urgentLate > 0) {
      String urgent = second.urgentLate + " of " + second.urgent + " of priority 1 late";
      String other = second.otherInTime + " of " + second.other + " of priority 2 in time";
      monitor.recordBreach(Rule.URGENT_WAITED, "second " + key + ": " + urgent + ", " + other);
    }
  }

  /** Returns the counts in one line; all but the first are of the time without faults. */
  public synchronized String summary() {
    Second all = new Second();
    for (Second second : seconds.values()) {
      all.urgent += second.urgent;
      all.urgentLate += second.urgentLate;
      all.other += second.other;
      all.otherInTime += second.otherInTime;
    }
    return String.format(
        "rejected=%d judged=%d late=%d priority1-in-time=%d/%d priority2-in-time=%d/%d",
        allRejections,
        rejections,
        lateRejections,
        all.urgent - all.urgentLate,
        all.urgent,
        all.otherInTime,
        all.other);
  }
}
