package io.moorstage.lab.monitor;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What must hold, judged by what clients, targets and the operator see. The names of the platform's
 * rules stand in docs/SOAK.md. Thread-safe.
 */
public final class RuleMonitor {
  /** The bounds of a leaving target, an evacuation and a configuration, after the last trouble. */
  public static final int IN_FORCE_WITHIN_MS = 5_000;

  /** One fault can break a rule for every flow; the first ones tell enough. */
  private static final int MAX_BREACHES = 100;

  private final Set<String> written = new HashSet<>();
  private final Map<Long, String> runs = new HashMap<>();
  private final List<String> breaches = new ArrayList<>();
  private long troubleUntilMs;
  private long troubles;
  private long served;
  private long failed;

  /** A client writes a packet; whatever else reaches a target was made up on the way. */
  public synchronized void wrote(String immutableContent) {
    written.add(immutableContent);
  }

  /** A fault begins or is still there. */
  public synchronized void trouble(long nowMs) {
    troubles++;
    troubleUntilMs = Math.max(troubleUntilMs, nowMs);
  }

  /** Returns whether something that was acknowledged at some time must be in force by now. */
  public synchronized boolean mustBeInForce(long acknowledgedAtMs, long nowMs) {
    return nowMs - Math.max(acknowledgedAtMs, troubleUntilMs) > IN_FORCE_WITHIN_MS;
  }

  /** A packet reaches a target. */
  public synchronized void reached(String packet, String target) {
    if (!written.contains(packet)) {
      breach(Rule.CHANGED_PACKET, "at " + target);
    }
  }

  /** A target runs a request. */
  public synchronized void ran(long request, String target) {
    String before = runs.putIfAbsent(request, target);
    if (before != null) {
      breach(Rule.RAN_TWICE, "request " + request + " at " + before + " and " + target);
    }
  }

  /** A client got the answer to its request. */
  public synchronized void served() {
    served++;
  }

  /** A flow of a client ended before its requests were served. */
  public synchronized void failed() {
    failed++;
  }

  /** A rule was broken. */
  public synchronized void breach(Rule rule, String detail) {
    if (breaches.size() < MAX_BREACHES) {
      breaches.add(System.currentTimeMillis() + " " + rule + ": " + detail);
    }
  }

  /** Returns what was broken so far, with the time in ms since the epoch. */
  public synchronized List<String> breaches() {
    return List.copyOf(breaches);
  }

  /** Returns the requests that were served so far. */
  public synchronized long servedCount() {
    return served;
  }

  /** Returns the flows that failed so far. */
  public synchronized long failedCount() {
    return failed;
  }

  /** Returns the counts in one line. */
  public synchronized String summary() {
    return "served=" + served + " failed=" + failed + " troubles=" + troubles;
  }
}
