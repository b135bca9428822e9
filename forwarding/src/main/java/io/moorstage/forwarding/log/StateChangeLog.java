package io.moorstage.forwarding.log;

import io.moorstage.core.model.Endpoint;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.Revision;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Logs the changes between the previous state of this node and a newer one. */
public final class StateChangeLog {
  private final EventLog log;

  /** Creates a log of changes that writes to an event log. */
  public StateChangeLog(EventLog log) {
    this.log = log;
  }

  /** Logs the configuration if its version has changed; returns whether it has. */
  public boolean logConfiguration(FleetState before, FleetState after) {
    ForwardingConfiguration configuration = after.configuration();
    if (configuration.version() == before.configuration().version()) {
      return false;
    }
    log.event(
        "configuration-taken",
        "version",
        configuration.version(),
        "routes",
        configuration.routes().size(),
        "shortest-timeout-ms",
        shortestTimeoutMs(configuration),
        "revision",
        Revision.text(after.revision()));
    return true;
  }

  private static int shortestTimeoutMs(ForwardingConfiguration configuration) {
    int shortestMs = Integer.MAX_VALUE;
    for (ForwardingRoute route : configuration.routes()) {
      shortestMs = Math.min(shortestMs, route.timeoutMs());
    }
    return shortestMs;
  }

  /**
   * Logs the targets that are new, have restarted, have changed their phase, or are cold again,
   * that is, whose slow start has become longer.
   *
   * @return the logged targets
   */
  public List<TargetRecord> logTargets(FleetState before, FleetState after) {
    List<TargetRecord> changed = new ArrayList<>(0);
    for (TargetRecord target : after.targets()) {
      TargetRecord known = before.target(target.id());
      if (known == null || hasRestarted(known, target) || known.phase() != target.phase()) {
        changed.add(target);
        logTarget(target);
      } else if (known.slowStartMs() < target.slowStartMs()) {
        changed.add(target);
        log.event(
            "target-cold",
            "target",
            target.id(),
            "slow-ms",
            target.slowStartMs(),
            "revision",
            Revision.text(target.revision()));
      }
    }
    return changed;
  }

  private static boolean hasRestarted(TargetRecord known, TargetRecord target) {
    return known.startNumber() != target.startNumber();
  }

  /** Logs the evacuations of zones that were set or lifted; returns whether there were any. */
  public boolean logEvacuations(FleetState before, FleetState after) {
    Set<String> zonesBefore = before.evacuations().zones();
    Set<String> zonesAfter = after.evacuations().zones();
    logZones("zone-evacuated", zonesAfter, zonesBefore, after.revision());
    logZones("zone-evacuation-lifted", zonesBefore, zonesAfter, after.revision());
    return !zonesBefore.equals(zonesAfter);
  }

  // Logs an event for each zone that is not among the excluded ones.
  private void logZones(String event, Set<String> zones, Set<String> excluded, long revision) {
    for (String zone : zones) {
      if (!excluded.contains(zone)) {
        log.event(event, "zone", zone, "revision", Revision.text(revision));
      }
    }
  }

  private void logTarget(TargetRecord target) {
    log.event(
        "target-" + target.phase().name().toLowerCase(Locale.ROOT),
        "target",
        target.id(),
        "service",
        target.service(),
        "at",
        Endpoint.of(target.address(), 0).host(),
        "started-ms",
        target.startedAtMs(),
        "revision",
        Revision.text(target.revision()));
  }
}
