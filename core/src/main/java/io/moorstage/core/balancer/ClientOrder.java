package io.moorstage.core.balancer;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.SchedulingTerms;

/**
 * The order in which clients of one priority are served under overload, and the keys of zones. All
 * balancers compute the same values without communicating.
 *
 * <p>An overloaded service rejects the clients that come last in the order. The order stays the
 * same for a period that is longer than a request with its retries, so that the retries of a
 * rejected request are rejected too instead of taking the place of first attempts. The next period
 * has another order, so that each client gets its turn.
 */
final class ClientOrder {
  /** Leaves the upper 8 bits of a hash, as many as {@link SchedulingTerms#LAST_CLIENT} has. */
  private static final int ORDER_SHIFT = 56;

  /** Leaves the upper 16 bits of a hash. */
  private static final int ZONE_KEY_SHIFT = 48;

  private ClientOrder() {}

  /**
   * Returns the position of a client in a period, from 0 to {@link SchedulingTerms#LAST_CLIENT}.
   */
  static int of(int clientAddress, long period) {
    return (int) (FlowId.mix(FlowId.mix(clientAddress) ^ period) >>> ORDER_SHIFT);
  }

  /** Returns the key of a zone, 16 bits of a hash of its name. */
  static int zoneKey(String zone) {
    return (int) (FlowId.mix(zone.hashCode()) >>> ZONE_KEY_SHIFT);
  }
}
