package io.moorstage.lab.soak;

import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.WeightedService;
import io.moorstage.lab.edge.StoreJson;
import io.moorstage.lab.monitor.ExpectedRoutes;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The routes of a soak: two permanent ones, one that is added and removed repeatedly, and, in some
 * soaks, one that moves between the two services. Thread-safe.
 */
final class SoakRoutes implements ExpectedRoutes {
  static final int TABLES = 0xC6120001;
  static final int BUNDLES = 0xC6120002;
  static final int INTERMITTENT = 0xC6120003;
  static final int MOVING = 0xC6120004;
  static final int PORT = 443;
  private static final int TIMEOUT_MS = 3_000;
  private static final int IDLE_TIMEOUT_MS = 60_000;

  /** Not 1, because versions rise by uneven steps on the platform and readers must accept that. */
  private static final int VERSION_STEP = 3;

  private final boolean hasMoving;
  private int version = 1;
  private boolean hasIntermittent;
  private long intermittentSinceMs = Long.MAX_VALUE;
  private long intermittentRemovedMs = Long.MAX_VALUE;
  private String movingService = "tables";
  private long movedAtMs = Long.MAX_VALUE;

  /**
   * Creates the routes.
   *
   * @param hasMoving whether there is a route that moves between services
   */
  SoakRoutes(boolean hasMoving) {
    this.hasMoving = hasMoving;
  }

  boolean hasMoving() {
    return hasMoving;
  }

  @Override
  public boolean mayReceiveFlows(int routeAddress, String service) {
    return routeAddress == MOVING || service.equals(serviceOf(routeAddress));
  }

  private static String serviceOf(int address) {
    return address == BUNDLES ? "bundles" : "tables";
  }

  /** Moves a route to the other service; returns the configuration to write. */
  synchronized String moveRoute() {
    version += VERSION_STEP;
    movingService = movingService.equals("tables") ? "bundles" : "tables";
    movedAtMs = System.currentTimeMillis();
    return configuration();
  }

  /** Adds or removes the intermittent route; returns the configuration to write. */
  synchronized String toggleIntermittentRoute() {
    version += VERSION_STEP;
    hasIntermittent = !hasIntermittent;
    intermittentRemovedMs = hasIntermittent ? Long.MAX_VALUE : System.currentTimeMillis();
    intermittentSinceMs = hasIntermittent ? System.currentTimeMillis() : Long.MAX_VALUE;
    return configuration();
  }

  @Override
  public synchronized long removedSinceMs(int address, String service) {
    if (address == MOVING) {
      return service.equals(movingService) ? Long.MAX_VALUE : movedAtMs;
    }
    return address == INTERMITTENT ? intermittentRemovedMs : Long.MAX_VALUE;
  }

  /**
   * Returns when the intermittent route was added, in milliseconds since the epoch; {@code
   * Long.MAX_VALUE} if it is not configured.
   */
  synchronized long intermittentSinceMs() {
    return intermittentSinceMs;
  }

  synchronized String configuration() {
    List<ForwardingRoute> routes = new ArrayList<>();
    routes.add(route(TABLES, serviceOf(TABLES)));
    routes.add(route(BUNDLES, serviceOf(BUNDLES)));
    if (hasIntermittent) {
      routes.add(route(INTERMITTENT, serviceOf(INTERMITTENT)));
    }
    if (hasMoving) {
      routes.add(route(MOVING, movingService));
    }
    return StoreJson.configuration(
        new ForwardingConfiguration(version, IDLE_TIMEOUT_MS, routes, Map.of()));
  }

  private static ForwardingRoute route(int address, String service) {
    List<WeightedService> services = List.of(new WeightedService(service, 1));
    return new ForwardingRoute(address, PORT, TIMEOUT_MS, false, services);
  }
}
