package io.moorstage.forwarding.state;

import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingConfiguration.FormerService;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks since when routes have had services at weight 0, and removes a service from a route after
 * a retention period that is longer than a flow lives, since none of the service's targets can hold
 * a flow of the route by then. Not thread-safe.
 *
 * <p>A service that was removed is not taken again from another copy of the configuration, such as
 * a peer's or an older one of a restored source, as its retention would then start anew with each
 * such copy. This ends with the next version, since the service may have had weight in a version
 * that this node has missed.
 */
final class FormerServices {
  private final int retentionMs;
  private final Map<FormerService, Long> sinceMs = new HashMap<>();
  private final Set<FormerService> expired = new HashSet<>();
  private ForwardingConfiguration tracked = ForwardingConfiguration.NONE;

  FormerServices(int retentionMs) {
    this.retentionMs = retentionMs;
  }

  /** Returns a state without the services at weight 0 whose retention period has passed. */
  FleetState removeExpired(FleetState newer, long nowMs) {
    track(newer.configuration(), nowMs);
    sinceMs.forEach(
        (service, since) -> {
          if (nowMs - since > retentionMs) {
            expired.add(service);
          }
        });
    if (Collections.disjoint(expired, sinceMs.keySet())) {
      return newer;
    }
    ForwardingConfiguration kept = newer.configuration().withoutFormerServices(expired);
    track(kept, nowMs);
    return newer.with(kept);
  }

  private void track(ForwardingConfiguration configuration, long nowMs) {
    if (configuration == tracked) {
      return;
    }
    if (configuration.version() != tracked.version()) {
      expired.clear();
    }
    tracked = configuration;
    Map<FormerService, Long> known = new HashMap<>(sinceMs);
    sinceMs.clear();
    for (FormerService service : configuration.formerServices()) {
      sinceMs.put(service, known.getOrDefault(service, nowMs));
    }
  }
}
