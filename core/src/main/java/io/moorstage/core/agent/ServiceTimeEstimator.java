package io.moorstage.core.agent;

import io.moorstage.core.message.CapacityReport;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Estimates the mean time for which a target works on a request, without the time in the target's
 * own queue. Guarded by the lock of {@link FlowAgent}.
 *
 * <p>A target works on as many requests as its capacity, in order of arrival. A request's work
 * therefore starts when it arrives or when an earlier one frees its place, and ends with the first
 * data of the response. Work that ends without an answer adds its time but counts as no answer, so
 * that neither clients that leave nor a target that breaks off requests make the target look fast.
 *
 * <p>The estimate is a mean over the last {@link #WINDOW} answers. If all but one of the last
 * {@link #RECENT} requests took much longer or shorter than that mean, the window restarts with
 * these.
 */
final class ServiceTimeEstimator {
  /**
   * Answers that the mean covers. With 100 answers, of log-normal lengths with sigma 0.5 of which
   * 3% are 7 times as long, the slowest tenth of 46 equal targets seemed up to 1.41 times as slow
   * as the fastest, with 150 answers up to 1.40 (490 checks each).
   */
  static final int WINDOW = 150;

  /** Answers without which there is no estimate. */
  static final int MIN_ANSWERS = 5;

  /** The last requests that show a change of the service time. */
  private static final int RECENT = 6;

  /**
   * How many of the last requests have to be slow, or fast, to show a change. By calculation, this
   * occurs once in a million answers at steady speed; with 4 of 5 it would once in 70,000.
   */
  private static final int RECENT_CHANGED = 5;

  /** A request this many times as long as the mean is slow: 4% of requests at steady speed. */
  private static final double SLOW_FACTOR = 2.5;

  /** A request of this fraction of the mean is fast: 4% of requests at steady speed. */
  private static final double FAST_FACTOR = 1.0 / 3;

  /**
   * Longer times count as this many times the mean. Without this limit, rare requests of 7 times
   * the length nearly treble the variance of the estimate.
   */
  private static final double MAX_TIME_FACTOR = 4;

  /**
   * A request in progress for longer raises the estimate if no other is answered; a shorter one may
   * just be a request of 7 times the usual length.
   */
  private static final double OVERDUE_FACTOR = 10;

  /**
   * An answer in a shorter part of the mean time, or of the lowest mean of a full window if that is
   * shorter, is a rejection: by calculation, 1 of 100,000 requests is so short at steady speed.
   * With the last mean of a full window, the answers of a target that had been 20 times slower for
   * 150 answers counted as rejections after its recovery.
   */
  private static final double REJECTED_FACTOR = 0.1;

  private final Map<AgentFlow, Long> startedAtMs = new LinkedHashMap<>();
  private final Set<AgentFlow> queued = new LinkedHashSet<>();
  private final Samples window = new Samples(WINDOW);
  private final Samples recent = new Samples(RECENT);
  private int capacity;
  private double unansweredMs;
  private int answers;
  private int rejectedInSequence;
  private double lowestMeanMs;
  private long answeredAtMs;

  /** The last times in a ring, with their sum. */
  private static final class Samples {
    private final double[] times;
    private int count;
    private int next;
    private double sum;

    private Samples(int size) {
      this.times = new double[size];
    }

    private void add(double time) {
      sum += time - times[next];
      times[next] = time;
      next = (next + 1) % times.length;
      count = Math.min(count + 1, times.length);
    }

    private double mean() {
      return count == 0 ? 0 : sum / count;
    }

    private void clear() {
      Arrays.fill(times, 0);
      count = 0;
      next = 0;
      sum = 0;
    }
  }

  /** Sets the number of requests that the target works on at a time; 0 if not known. */
  void setCapacity(int newCapacity, long nowMs) {
    capacity = newCapacity;
    startQueued(nowMs);
  }

  /** Clears the estimate, and forgets the requests in progress, since the target has restarted. */
  void reset() {
    startedAtMs.clear();
    queued.clear();
    window.clear();
    recent.clear();
    unansweredMs = 0;
    answers = 0;
    rejectedInSequence = 0;
    lowestMeanMs = 0;
    answeredAtMs = 0;
  }

  /** Records that a flow's request has been delivered to the target. */
  void begin(AgentFlow flow, long nowMs) {
    queued.add(flow);
    startQueued(nowMs);
  }

  /** Records that the target has answered a flow's request in progress. */
  void recordAnswer(AgentFlow flow, long nowMs) {
    Long started = startedAtMs.remove(flow);
    boolean overtook = started == null && queued.remove(flow) && !startedAtMs.isEmpty();
    if (overtook && !isRejected(nowMs - flow.busySinceMs())) {
      // The target has served this request in place of one that arrived earlier.
      started = startedAtMs.entrySet().iterator().next().setValue(nowMs);
    }
    if (started != null) {
      onAnswerAfter(nowMs - started, nowMs);
    }
    startQueued(nowMs);
  }

  private void onAnswerAfter(long timeMs, long nowMs) {
    if (isRejected(timeMs)) {
      unansweredMs += timeMs;
      rejectedInSequence++;
      return;
    }
    rejectedInSequence = 0;
    answeredAtMs = nowMs;
    add(timeMs + unansweredMs);
    unansweredMs = 0;
  }

  private boolean isRejected(long timeMs) {
    double lowestMs = lowestMeanMs == 0 ? window.mean() : lowestMeanMs;
    return timeMs < REJECTED_FACTOR * Math.min(window.mean(), lowestMs);
  }

  /** Records that a flow's request has ended, unless its answer was recorded. */
  void end(AgentFlow flow, long nowMs) {
    Long started = startedAtMs.remove(flow);
    unansweredMs += started == null ? 0 : nowMs - started;
    queued.remove(flow);
    startQueued(nowMs);
  }

  private void startQueued(long nowMs) {
    Iterator<AgentFlow> waiting = queued.iterator();
    while (startedAtMs.size() < capacity && waiting.hasNext()) {
      startedAtMs.put(waiting.next(), nowMs);
      waiting.remove();
    }
  }

  private void add(double timeMs) {
    double meanMs = window.mean();
    recent.add(timeMs);
    boolean hasMean = answers >= MIN_ANSWERS;
    window.add(hasMean ? Math.min(timeMs, MAX_TIME_FACTOR * meanMs) : timeMs);
    answers++;
    if (window.count == WINDOW) {
      lowestMeanMs = lowestMeanMs == 0 ? window.mean() : Math.min(lowestMeanMs, window.mean());
    }
    if (hasMean && recent.count >= RECENT_CHANGED) {
      restartOnChange(SLOW_FACTOR * meanMs, FAST_FACTOR * meanMs);
    }
  }

  private void restartOnChange(double slowMs, double fastMs) {
    int slow = 0;
    int fast = 0;
    for (int i = 0; i < recent.count; i++) {
      slow += recent.times[i] > slowMs ? 1 : 0;
      fast += recent.times[i] < fastMs ? 1 : 0;
    }
    if (Math.max(slow, fast) < RECENT_CHANGED) {
      return;
    }
    window.clear();
    for (int i = 0; i < recent.count; i++) {
      double time = recent.times[i];
      if (slow > fast ? time > slowMs : time < fastMs) {
        window.add(time);
      }
    }
    recent.clear();
  }

  /**
   * Returns the mean time for which the target works on a request, in milliseconds; 0 if fewer than
   * {@link #MIN_ANSWERS} answers or no capacity are known, or if the last {@link #WINDOW} answers
   * were rejections.
   */
  double meanMs(long nowMs) {
    if (answers < MIN_ANSWERS || capacity == 0 || rejectedInSequence >= WINDOW) {
      return 0;
    }
    double meanMs = window.mean();
    if (startedAtMs.isEmpty()) {
      return meanMs;
    }
    long oldestStartMs = startedAtMs.values().iterator().next();
    double oldestMs = nowMs - oldestStartMs + unansweredMs;
    double slowMs = SLOW_FACTOR * meanMs;
    double sumMs = oldestMs;
    int slow = 1;
    for (double time : recent.times) {
      sumMs += time > slowMs ? time : 0;
      slow += time > slowMs ? 1 : 0;
    }
    if (oldestMs > slowMs && slow >= RECENT_CHANGED) {
      return sumMs / slow;
    }
    double silentMs = nowMs - Math.max(oldestStartMs, answeredAtMs) + unansweredMs;
    double overdueMs = Math.max(0, silentMs - OVERDUE_FACTOR * meanMs);
    return meanMs + overdueMs / RECENT;
  }

  /**
   * Returns the mean time as agents report it, in tenths of a millisecond; 0 before {@link #WINDOW}
   * answers are known, as balancers compare it with those of other targets.
   */
  int reportedTenthsMs(long nowMs) {
    long tenthsMs = Math.round(10 * meanMs(nowMs));
    return answers < WINDOW ? 0 : (int) Math.min(tenthsMs, CapacityReport.MAX_VALUE);
  }
}
