package io.moorstage.forwarding.log;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.model.Endpoint;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Writes one line of key=value pairs for each event to standard output.
 *
 * <p>A separate thread writes the lines. The data path adds them to a bounded queue and never
 * waits. The number of lines per second is limited, separately for normal and for abnormal events,
 * with a higher limit for the latter. Lines beyond a limit are dropped, and their number is logged.
 * Thread-safe.
 */
public final class EventLog implements DecisionLog {
  /** Maximum number of queued lines: some 17 s of both limits per second, less than 1 MB. */
  private static final int MAX_QUEUED_LINES = 4_096;

  /**
   * Maximum lines of normal events per second. The limit keeps the cost of logging far below the
   * cost of handling requests.
   */
  private static final int MAX_NORMAL_LINES_PER_S = 40;

  /** Maximum lines of abnormal events per second: five times the limit of normal events. */
  private static final int MAX_ABNORMAL_LINES_PER_S = 200;

  private static final long SECOND_MS = 1_000;

  private final String nodeId;
  private final Deque<String> queue = new ArrayDeque<>();
  private long secondStartMs;
  private int normalThisSecond;
  private int abnormalThisSecond;
  private long unreportedDrops;
  private long droppedLines;

  /**
   * Creates a log that queues lines; they are written after {@link #start()}.
   *
   * @param nodeId the name of the process, which is part of each line
   */
  public EventLog(String nodeId) {
    this.nodeId = nodeId;
  }

  /** Starts the thread that writes the queued lines. */
  public void start() {
    Thread writer = new Thread(() -> writeAll(System.out), "log-writer");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Logs an event that does not belong to a flow; it counts as abnormal.
   *
   * @param event the event's name
   * @param fields alternating keys and values
   */
  public void event(String event, Object... fields) {
    StringBuilder line = begin(event);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line.append(' ').append(fields[i]).append('=').append(quote(String.valueOf(fields[i + 1])));
    }
    enqueueWithinLimit(line.toString(), true);
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
    if (!admitLine(decision.isAbnormal())) {
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
    enqueue(line.toString());
  }

  private void enqueueWithinLimit(String line, boolean abnormal) {
    if (admitLine(abnormal)) {
      enqueue(line);
    }
  }

  private synchronized boolean admitLine(boolean abnormal) {
    long nowMs = System.nanoTime() / 1_000_000;
    if (nowMs - secondStartMs >= SECOND_MS) {
      secondStartMs = nowMs;
      normalThisSecond = 0;
      abnormalThisSecond = 0;
      if (unreportedDrops > 0) {
        queue.add(begin("lines-left-out").append(" count=").append(unreportedDrops).toString());
        unreportedDrops = 0;
        notifyAll();
      }
    }
    boolean withinLimit =
        abnormal
            ? abnormalThisSecond++ < MAX_ABNORMAL_LINES_PER_S
            : normalThisSecond++ < MAX_NORMAL_LINES_PER_S;
    if (!withinLimit || queue.size() >= MAX_QUEUED_LINES) {
      unreportedDrops++;
      droppedLines++;
      return false;
    }
    return true;
  }

  /** Returns the total number of lines dropped so far. */
  public synchronized long droppedLines() {
    return droppedLines;
  }

  private synchronized void enqueue(String line) {
    queue.add(line);
    notifyAll();
  }

  // Waits until lines are queued, and removes all of them.
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

  /** Writes all lines that are still queued; called before the process ends. */
  public synchronized void flush() {
    while (!queue.isEmpty()) {
      System.out.println(queue.poll());
    }
    System.out.flush();
  }
}
