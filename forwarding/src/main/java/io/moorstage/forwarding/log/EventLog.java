package io.moorstage.forwarding.log;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.model.Endpoint;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Writes one line of key=value pairs for an event to standard output, from a thread of its own: the
 * data path puts lines into a bounded queue and never waits. Each second has a budget of lines;
 * lines about trouble have a larger one than others, and what is left out is counted and logged.
 */
public final class EventLog implements DecisionLog {
  /**
   * The most lines that wait for the writer. Not measured; chosen so that some 17 seconds of both
   * budgets fit, which is under 1 MB.
   */
  private static final int MAX_QUEUED = 4_096;

  /** The most usual lines in a second. Not measured; chosen far below what a request costs. */
  private static final int BUDGET_USUAL = 40;

  /** The most lines about trouble in a second. Not measured; chosen as five times the usual. */
  private static final int BUDGET_TROUBLE = 200;

  private static final long SECOND_MS = 1_000;

  private final String nodeId;
  private final Deque<String> queue = new ArrayDeque<>();
  private long secondStartMs;
  private int usualThisSecond;
  private int troubleThisSecond;
  private long leftOut;
  private long leftOutInAll;

  /** Creates a log for a process. */
  public EventLog(String nodeId) {
    this.nodeId = nodeId;
  }

  /** Starts the thread that writes. */
  public void start() {
    Thread writer = new Thread(() -> writeAll(System.out), "log-writer");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Logs an event that does not belong to a flow.
   *
   * @param event the event's name
   * @param fields pairs of key and value
   */
  public void event(String event, Object... fields) {
    StringBuilder line = begin(event);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line.append(' ').append(fields[i]).append('=').append(quote(String.valueOf(fields[i + 1])));
    }
    offer(line.toString(), true);
  }

  private static String quote(String value) {
    return value.indexOf(' ') < 0 ? value : '"' + value.replace('"', '\'') + '"';
  }

  private StringBuilder begin(String event) {
    StringBuilder line = new StringBuilder(160);
    line.append("time-ms=").append(System.currentTimeMillis());
    return line.append(" node=").append(nodeId).append(" event=").append(event);
  }

  @Override
  public void decided(Decision decision, FlowId flow, int address, String reason, long ageMs) {
    if (!takeBudget(decision.isAbnormal())) {
      return;
    }
    StringBuilder line = begin(decision.logName()).append(" flow=").append(flow);
    if (address != 0) {
      line.append(" at=").append(Endpoint.of(address, 0).host());
    }
    line.append(" reason=").append(reason);
    if (ageMs >= 0) {
      line.append(" age-ms=").append(ageMs);
    }
    put(line.toString());
  }

  private void offer(String line, boolean trouble) {
    if (takeBudget(trouble)) {
      put(line);
    }
  }

  private synchronized boolean takeBudget(boolean trouble) {
    long nowMs = System.nanoTime() / 1_000_000;
    if (nowMs - secondStartMs >= SECOND_MS) {
      secondStartMs = nowMs;
      usualThisSecond = 0;
      troubleThisSecond = 0;
      if (leftOut > 0) {
        queue.add(begin("lines-left-out").append(" count=").append(leftOut).toString());
        leftOut = 0;
        notifyAll();
      }
    }
    boolean within =
        trouble ? troubleThisSecond++ < BUDGET_TROUBLE : usualThisSecond++ < BUDGET_USUAL;
    if (!within || queue.size() >= MAX_QUEUED) {
      leftOut++;
      leftOutInAll++;
      return false;
    }
    return true;
  }

  /** Returns how many lines were left out so far. */
  public synchronized long linesLeftOut() {
    return leftOutInAll;
  }

  private synchronized void put(String line) {
    queue.add(line);
    notifyAll();
  }

  private synchronized String takeAll() throws InterruptedException {
    while (queue.isEmpty()) {
      wait();
    }
    StringBuilder lines = new StringBuilder();
    while (!queue.isEmpty()) {
      lines.append(queue.poll()).append('\n');
    }
    return lines.toString();
  }

  private void writeAll(PrintStream out) {
    try {
      while (true) {
        out.print(takeAll());
        out.flush();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes what is queued, before the process ends. */
  public synchronized void flush() {
    while (!queue.isEmpty()) {
      System.out.println(queue.poll());
    }
    System.out.flush();
  }
}
