package io.moorstage.lab.process;

import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.WeightedService;
import io.moorstage.lab.edge.StoreJson;
import io.moorstage.lab.edge.TargetEntry;
import java.util.List;
import java.util.Map;

/** The store's entries in tests: a configuration with one route, and targets of its service. */
final class TestEntries {
  private static final int SERVICE = 0xC6120001;
  private static final int SERVICE_PORT = 443;

  private TestEntries() {}

  static String configuration() {
    return configuration(2);
  }

  static String configuration(long version) {
    List<WeightedService> services = List.of(new WeightedService("tables", 1));
    ForwardingRoute route = new ForwardingRoute(SERVICE, SERVICE_PORT, 3_000, true, services);
    return StoreJson.configuration(
        new ForwardingConfiguration(version, 60_000, List.of(route), Map.of()));
  }

  static String target(String host, boolean draining) {
    return target(host, "z", draining);
  }

  static String target(String host, String zone, boolean draining) {
    return StoreJson.target(new TargetEntry("tables", host, Ports.APP, zone, 5), draining);
  }
}
