package io.moorstage.core.balancer;

import io.moorstage.core.settings.SearchSettings;

/**
 * The queries to one agent that it has not answered, all since its last beacon or response. Guarded
 * by the lock of {@link FlowBalancer}.
 *
 * <p>They show that the agent is unresponsive if there are at least {@value #MIN_QUERIES}, one of
 * them was sent more than {@code agentTimeoutMs} after the first one, and another agent has
 * answered a query that was sent at that time or later. A balancer that has no processor time, or
 * that its network cuts off, reads no answers at all, and must not infer from the time that has
 * passed that an agent has left its queries unanswered.
 */
final class UnansweredQueries {
  /** One or two messages may be lost although both nodes run. */
  private static final int MIN_QUERIES = 3;

  private static final long NOT_OVERDUE = Long.MAX_VALUE;

  private final SearchSettings settings;
  private final long firstMs;
  private int count;
  private long lastCountedMs;

  /** When the first query was sent that was more than {@code agentTimeoutMs} after the first. */
  private long overdueMs = NOT_OVERDUE;

  private UnansweredQueries(SearchSettings settings, int count, long nowMs) {
    this.settings = settings;
    this.firstMs = nowMs;
    this.count = count;
    this.lastCountedMs = nowMs;
  }

  /** Returns the first query to an agent. */
  static UnansweredQueries first(SearchSettings settings, long nowMs) {
    return new UnansweredQueries(settings, 1, nowMs);
  }

  /** Returns no query to an agent that has announced that it stops; one is enough then. */
  static UnansweredQueries ofStopping(SearchSettings settings, long nowMs) {
    return new UnansweredQueries(settings, MIN_QUERIES - 1, nowMs);
  }

  long firstMs() {
    return firstMs;
  }

  /** Adds a query. */
  void add(long nowMs) {
    if (nowMs - lastCountedMs >= settings.responseTimeoutMs()) {
      // Queries about several flows are sent in one datagram, and lost with it.
      count++;
      lastCountedMs = nowMs;
    }
    if (overdueMs == NOT_OVERDUE && nowMs - firstMs > settings.agentTimeoutMs()) {
      overdueMs = nowMs;
    }
  }

  /**
   * Returns whether the queries show that the agent is unresponsive.
   *
   * @param newestAnsweredMs the send time of the newest query that any agent has answered
   */
  boolean showUnresponsive(long newestAnsweredMs, long nowMs) {
    return count >= MIN_QUERIES
        && overdueMs <= newestAnsweredMs
        && nowMs - overdueMs >= settings.responseTimeoutMs();
  }
}
