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

/** Logs what a newer state changes for this node. */
public final class StateChangeLog {
  private final EventLog log;

  public StateChangeLog(EventLog log) {
    this.log = log;
  }

  /** Logs a configuration of another version; returns whether there is one. */
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
   * Logs targets that are new, have started again, are in another phase or cold again; returns
   * them.
   */
  public List<TargetRecord> logTargets(FleetState before, FleetState after) {
    List<TargetRecord> changed = new ArrayList<>(0);
    for (TargetRecord target : after.targets()) {
      TargetRecord known = before.target(target.id());
      if (known == null || isOtherStart(known, target) || known.phase() != target.phase()) {
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

  private static boolean isOtherStart(TargetRecord known, TargetRecord target) {
    return known.startNumber() != target.startNumber();
  }

  /** Logs evacuations of zones that were set or lifted; returns whether there are any. */
  public boolean logEvacuations(FleetState before, FleetState after) {
    Set<String> zonesBefore = before.evacuations().zones();
    Set<String> zonesAfter = after.evacuations().zones();
    logZones("zone-evacuated", zonesAfter, zonesBefore, after.revision());
    logZones("zone-evacuation-lifted", zonesBefore, zonesAfter, after.revision());
    return !zonesBefore.equals(zonesAfter);
  }

  private void logZones(String event, Set<String> zones, Set<String> others, long revision) {
    for (String zone : zones) {
      if (!others.contains(zone)) {
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
