package io.moorstage.core.agent;

/** Counts the open flows that an agent's target holds. Guarded by the lock of {@link FlowAgent}. */
final class HeldFlowCount {
  private int count;

  void add(int change) {
    count += change;
  }

  int count() {
    return count;
  }
}
