package io.moorstage.core.agent;

/**
 * What an agent knows of its target's start, and so of the flows that the target may hold without
 * the agent's knowing. Guarded by the lock of {@link FlowAgent}.
 *
 * <p>All segments pass through the agent. A target that has started beside the running agent, or
 * after the machine with its former agent was lost, holds no flow that the agent does not know. It
 * has, as far as can be told, if the source lists it while it still lists, as ready, the one before
 * it: that one died, without leaving, less than three heartbeats ago. An agent that was restarted
 * within that time after its target is mistaken; so balancers offer a segment to likely targets all
 * the same.
 */
final class TargetIncarnation {
  private long id;
  private boolean startedAfterAgent;

  /**
   * Takes which incarnation of the target the source lists, as a balancer reports it.
   *
   * @param newId names this incarnation of the target
   * @param tookOver whether the source still lists the target before it as ready
   * @return whether it is another incarnation than the one reported before
   */
  boolean update(long newId, boolean tookOver) {
    boolean changed = id != newId;
    if (changed) {
      // That another one was listed before tells nothing: that may have been an old state.
      id = newId;
      startedAfterAgent = false;
    }
    startedAfterAgent |= tookOver;
    return changed;
  }

  /** The target has sent a segment of a flow that the agent does not know. */
  void onUnknownFlow() {
    startedAfterAgent = false;
  }

  /** Returns whether the target has most likely started no sooner than the agent. */
  boolean startedAfterAgent() {
    return startedAfterAgent;
  }
}
