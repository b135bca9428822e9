package io.moorstage.core.agent;

import io.moorstage.core.message.SchedulingTerms;

/**
 * Counts waiting requests by client order. A Fenwick tree: each operation takes at most nine steps,
 * so that the position of an arrival is known without a scan of the queue.
 */
final class OrderCounts {
  private final int[] tree = new int[SchedulingTerms.LAST_CLIENT + 2];

  /** Changes the number of requests of one client order. */
  void add(int clientOrder, int change) {
    for (int i = clientOrder + 1; i < tree.length; i += i & -i) {
      tree[i] += change;
    }
  }

  /** Returns the number of requests whose client order is at most the given one. */
  int upTo(int clientOrder) {
    int sum = 0;
    for (int i = clientOrder + 1; i > 0; i -= i & -i) {
      sum += tree[i];
    }
    return sum;
  }

  /**
   * Returns the highest client order up to which there are at most {@code limit} requests, or -1 if
   * there are more already at order 0.
   */
  int highestOrderWithAtMost(int limit) {
    int order = SchedulingTerms.LAST_CLIENT;
    while (order >= 0 && upTo(order) > limit) {
      order--;
    }
    return order;
  }
}
