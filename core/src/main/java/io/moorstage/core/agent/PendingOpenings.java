package io.moorstage.core.agent;

import java.util.ArrayDeque;
import java.util.Deque;
import javax.annotation.Nullable;

/**
 * The openings that the target has been handed and may not have answered, in the order in which
 * they came. Guarded by the lock of {@link FlowAgent}.
 *
 * <p>A target answers an opening within a millisecond or refuses it. One that does neither is given
 * back to its balancer, which places the flow elsewhere before its client repeats the opening.
 */
final class PendingOpenings {
  private final int answerTimeoutMs;
  private final Deque<AgentFlow> pending = new ArrayDeque<>();

  /**
   * Creates an empty queue.
   *
   * @param answerTimeoutMs after how long without an answer a target counts as silent
   */
  PendingOpenings(int answerTimeoutMs) {
    this.answerTimeoutMs = answerTimeoutMs;
  }

  /** An opening goes to the target now. */
  void add(AgentFlow flow) {
    pending.add(flow);
  }

  /** Takes the next flow whose opening was not answered in time; returns null if there is none. */
  @Nullable
  AgentFlow pollOverdue(long nowMs) {
    while (!pending.isEmpty() && nowMs - pending.peek().openedAtMs() >= answerTimeoutMs) {
      AgentFlow flow = pending.poll();
      if (flow.unansweredOpening() != null) {
        return flow;
      }
    }
    return null;
  }
}
