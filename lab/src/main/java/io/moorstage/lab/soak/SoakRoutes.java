package io.moorstage.lab.soak;

import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.WeightedService;
import io.moorstage.lab.edge.StoreJson;
import io.moorstage.lab.monitor.ExpectedRoutes;
import io.moorstage.lab.monitor.RequestKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The routes of a soak: two permanent ones, one that is added and removed repeatedly, and, in some
 * soaks, one that moves between the two services. Thread-safe.
 */
final class SoakRoutes implements ExpectedRoutes {
  static final int TABLES = 0xC6120001;
  static final int BUNDLES = 0xC6120002;
  static final int INTERMITTENT = 0xC6120003;
  static final int MOVING = 0xC6120004;
  static final int URGENT_TABLES = 0xC6120005;
  static final int URGENT_BUNDLES = 0xC6120006;
  static final int PORT = 443;

  /** Twice the longest work of a request at the slowest targets, except while they are slow. */
  private static final int OBJECTIVE_MS = 600;

  private static final int URGENT_PRIORITY = 1;
  private static final int NORMAL_PRIORITY = 2;
  private static final int TIMEOUT_MS = 3_000;
  private static final int IDLE_TIMEOUT_MS = 60_000;

  /** Not 1, because versions rise by uneven steps on the platform and readers must accept that. */
  private static final int VERSION_STEP = 3;

  private final boolean hasMoving;
  private final boolean hasPriorities;
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
   * @param hasPriorities whether routes have an objective and a priority, and each service also has
   *     a route of higher priority
   */
  SoakRoutes(boolean hasMoving, boolean hasPriorities) {
    this.hasMoving = hasMoving;
    this.hasPriorities = hasPriorities;
  }

  boolean hasMoving() {
    return hasMoving;
  }

  @Override
  public boolean mayReceiveFlows(int routeAddress, String service) {
    return routeAddress == MOVING || service.equals(serviceOf(routeAddress));
  }

  private static String serviceOf(int address) {
    return address == BUNDLES || address == URGENT_BUNDLES ? "bundles" : "tables";
  }

  /** Returns the kind of the requests of a permanent route; empty for other routes. */
  static Optional<RequestKind> kindOf(int address) {
    return switch (address) {
      case TABLES, BUNDLES, URGENT_TABLES, URGENT_BUNDLES ->
          Optional.of(new RequestKind(serviceOf(address), priorityOf(address), OBJECTIVE_MS));
      default -> Optional.empty();
    };
  }

  private static int priorityOf(int address) {
    boolean isUrgent = address == URGENT_TABLES || address == URGENT_BUNDLES;
    return isUrgent ? URGENT_PRIORITY : NORMAL_PRIORITY;
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

  @Override
  public synchronized boolean wasDroppedSince(int address, long sinceMs) {
    return address == INTERMITTENT && intermittentSinceMs > sinceMs;
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
    if (hasPriorities) {
      routes.add(route(URGENT_TABLES, serviceOf(URGENT_TABLES)));
      routes.add(route(URGENT_BUNDLES, serviceOf(URGENT_BUNDLES)));
    }
    if (hasIntermittent) {
      routes.add(route(INTERMITTENT, serviceOf(INTERMITTENT)));
    }
    if (hasMoving) {
      routes.add(route(MOVING, movingService));
    }
    return StoreJson.configuration(
        new ForwardingConfiguration(version, IDLE_TIMEOUT_MS, routes, Map.of()));
  }

  private ForwardingRoute route(int address, String service) {
    List<WeightedService> services = List.of(new WeightedService(service, 1));
    if (!hasPriorities) {
      return new ForwardingRoute(address, PORT, TIMEOUT_MS, false, services);
    }
    return new ForwardingRoute(
        address, PORT, TIMEOUT_MS, false, OBJECTIVE_MS, priorityOf(address), services);
  }
}
