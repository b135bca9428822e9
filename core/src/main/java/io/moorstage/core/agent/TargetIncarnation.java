package io.moorstage.core.agent;

/**
 * Tracks the incarnation of an agent's target, and whether it may hold flows that the agent has no
 * entry for. Guarded by the lock of {@link FlowAgent}.
 *
 * <p>All segments pass through the agent. A target that started while the agent was running, or
 * after the machine with its previous agent was lost, holds no flow unknown to the agent. The agent
 * infers this if the source lists the target while it still lists its predecessor as ready: the
 * predecessor ended without draining less than three heartbeats ago. The inference is wrong if the
 * agent was restarted within that time after its target. Balancers therefore still offer a segment
 * to such a target if it is among the most likely holders of the flow.
 */
final class TargetIncarnation {
  private long id;
  private boolean startedAfterAgent;

  /**
   * Updates the incarnation of the target that the source lists, as a balancer reports it.
   *
   * @param newId identifies the incarnation of the target
   * @param predecessorListedReady whether the source still lists the target's predecessor as ready
   * @return whether the incarnation differs from the one reported before
   */
  boolean update(long newId, boolean predecessorListedReady) {
    boolean changed = id != newId;
    if (changed) {
      // A different incarnation in an earlier report proves nothing: that report may have been
      // stale.
      id = newId;
      startedAfterAgent = false;
    }
    startedAfterAgent |= predecessorListedReady;
    return changed;
  }

  /** Records that the target has sent a segment of a flow that the agent has no entry for. */
  void onUnknownFlow() {
    startedAfterAgent = false;
  }

  /** Returns whether the target most likely started after the agent. */
  boolean startedAfterAgent() {
    return startedAfterAgent;
  }
}
