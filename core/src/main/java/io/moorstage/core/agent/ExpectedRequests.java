package io.moorstage.core.agent;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts the openings that were admitted to the target and whose request has not arrived yet; each
 * occupies a place of the target. Guarded by the lock of {@link FlowAgent}.
 */
final class ExpectedRequests {
  /**
   * Time from the target's acceptance in which the request has to arrive. The handshake takes 8 to
   * 27 ms; a client that takes twice as long has given up or lost a packet.
   */
  private static final int REQUEST_WAIT_MS = 50;

  /** The flows that the target has accepted, in this order, and perhaps some no longer expected. */
  private final Deque<AgentFlow> accepted = new ArrayDeque<>();

  private int count;

  /** Counts a flow whose opening is being delivered. */
  void add(AgentFlow flow) {
    if (!flow.expectsRequest()) {
      flow.expectRequest();
      count++;
    }
  }

  /** Records that the target has accepted a flow, which starts the time for its request. */
  void onAccepted(AgentFlow flow, long nowMs) {
    if (flow.expectsRequest() && flow.markAccepted(nowMs)) {
      accepted.addLast(flow);
    }
  }

  /** Stops counting a flow: its request has arrived, or it was closed, given back or lost. */
  void remove(AgentFlow flow) {
    if (flow.expectsRequest()) {
      flow.stopExpectingRequest();
      count--;
    }
  }

  /** Returns the number of flows whose request is expected. */
  int count(long nowMs) {
    for (AgentFlow flow = accepted.peekFirst();
        flow != null && (!flow.expectsRequest() || nowMs - flow.acceptedAtMs() >= REQUEST_WAIT_MS);
        flow = accepted.peekFirst()) {
      accepted.pollFirst();
      remove(flow);
    }
    return count;
  }

  /** Returns the number of accepted flows that are kept in memory, expected or not. */
  int retained() {
    return accepted.size();
  }
}
