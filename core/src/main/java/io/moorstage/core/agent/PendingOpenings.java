package io.moorstage.core.agent;

import java.util.ArrayDeque;
import java.util.Deque;
import javax.annotation.Nullable;

/**
 * The openings that were delivered to the target and may have no response yet, in order of
 * delivery. Guarded by the lock of {@link FlowAgent}.
 *
 * <p>A target accepts or returns an opening within a millisecond. An opening without either is
 * given back to its balancer, which places the flow elsewhere before the client repeats the
 * opening.
 */
final class PendingOpenings {
  private final int responseTimeoutMs;
  private final Deque<AgentFlow> pending = new ArrayDeque<>();

  /**
   * Creates an empty queue.
   *
   * @param responseTimeoutMs the time in which a target has to respond to an opening, in
   *     milliseconds
   */
  PendingOpenings(int responseTimeoutMs) {
    this.responseTimeoutMs = responseTimeoutMs;
  }

  /** Adds a flow whose opening is being delivered to the target. */
  void add(AgentFlow flow) {
    pending.add(flow);
  }

  /** Removes and returns the next flow whose opening has timed out, or null if there is none. */
  @Nullable
  AgentFlow pollOverdue(long nowMs) {
    while (!pending.isEmpty() && nowMs - pending.peek().openedAtMs() >= responseTimeoutMs) {
      AgentFlow flow = pending.poll();
      if (flow.unansweredOpening() != null) {
        return flow;
      }
    }
    return null;
  }
}
