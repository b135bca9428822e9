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
 *
 * <p>A configuration that may lack former services has all of them after the same period: flows
 * that were opened before have ended by then.
 */
final class FormerServices {
  /** The time at which no configuration is due that has all former services from then on. */
  static final long NEVER = Long.MAX_VALUE;

  private final int retentionMs;
  private final Map<FormerService, Long> sinceMs = new HashMap<>();
  private final Set<FormerService> expired = new HashSet<>();
  private ForwardingConfiguration tracked = ForwardingConfiguration.NONE;
  private long completeAtMs = NEVER;

  FormerServices(int retentionMs) {
    this.retentionMs = retentionMs;
  }

  /**
   * Returns when {@link #update} will return a configuration that has all former services; {@link
   * #NEVER} if the last one has them, or there was none.
   */
  long completeAtMs() {
    return completeAtMs;
  }

  /**
   * Returns a state without the services at weight 0 whose retention period has passed, and whose
   * configuration has all former services if the period for that has passed.
   */
  FleetState update(FleetState newer, long nowMs) {
    track(newer.configuration(), nowMs);
    if (nowMs < completeAtMs) {
      return removeExpired(newer, nowMs);
    }
    ForwardingConfiguration complete = newer.configuration().withAllFormerServices();
    track(complete, nowMs);
    return removeExpired(newer.with(complete), nowMs);
  }

  private FleetState removeExpired(FleetState newer, long nowMs) {
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
    boolean isNewVersion = configuration.version() != tracked.version();
    if (isNewVersion) {
      expired.clear();
    }
    if (configuration.hasAllFormerServices() || configuration.version() == 0) {
      completeAtMs = NEVER;
    } else if (isNewVersion || completeAtMs == NEVER) {
      completeAtMs = nowMs + retentionMs;
    }
    tracked = configuration;
    Map<FormerService, Long> known = new HashMap<>(sinceMs);
    sinceMs.clear();
    for (FormerService service : configuration.formerServices()) {
      sinceMs.put(service, known.getOrDefault(service, nowMs));
    }
  }
}
