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
 * The routes of a soak: two that stay, one that comes and goes, and, in some soaks, one that moves
 * from one service to the other and back. Thread-safe.
 */
final class SoakRoutes implements ExpectedRoutes {
  static final int TABLES = 0xC6120001;
  static final int BUNDLES = 0xC6120002;
  static final int COMES_AND_GOES = 0xC6120003;
  static final int MOVES = 0xC6120004;
  static final int PORT = 443;
  private static final int TIMEOUT_MS = 3_000;
  private static final int IDLE_TIMEOUT_MS = 60_000;

  /** Versions rise by uneven steps on the platform; readers may not count on 1. */
  private static final int VERSION_STEP = 3;

  private final boolean hasMoving;
  private int version = 1;
  private boolean extra;
  private long extraSinceMs = Long.MAX_VALUE;
  private long extraDroppedMs = Long.MAX_VALUE;
  private String movingTo = "tables";
  private long movedMs = Long.MAX_VALUE;

  /**
   * Creates the routes.
   *
   * @param hasMoving whether there is one that moves
   */
  SoakRoutes(boolean hasMoving) {
    this.hasMoving = hasMoving;
  }

  boolean hasMoving() {
    return hasMoving;
  }

  @Override
  public boolean mayReceiveFlows(int routeAddress, String service) {
    return routeAddress == MOVES || service.equals(serviceOf(routeAddress));
  }

  private static String serviceOf(int address) {
    return address == BUNDLES ? "bundles" : "tables";
  }

  /** Moves a route from one service to the other; returns the configuration to write. */
  synchronized String move() {
    version += VERSION_STEP;
    movingTo = movingTo.equals("tables") ? "bundles" : "tables";
    movedMs = System.currentTimeMillis();
    return configuration();
  }

  /** Adds or drops the route; returns the configuration to write. */
  synchronized String change() {
    version += VERSION_STEP;
    extra = !extra;
    extraDroppedMs = extra ? Long.MAX_VALUE : System.currentTimeMillis();
    extraSinceMs = extra ? System.currentTimeMillis() : Long.MAX_VALUE;
    return configuration();
  }

  @Override
  public synchronized long removedSinceMs(int address, String service) {
    if (address == MOVES) {
      return service.equals(movingTo) ? Long.MAX_VALUE : movedMs;
    }
    return address == COMES_AND_GOES ? extraDroppedMs : Long.MAX_VALUE;
  }

  /** Returns since when the route that comes and goes is there; the largest value if it is not. */
  synchronized long extraSinceMs() {
    return extraSinceMs;
  }

  synchronized String configuration() {
    List<ForwardingRoute> routes = new ArrayList<>();
    routes.add(route(TABLES, serviceOf(TABLES)));
    routes.add(route(BUNDLES, serviceOf(BUNDLES)));
    if (extra) {
      routes.add(route(COMES_AND_GOES, serviceOf(COMES_AND_GOES)));
    }
    if (hasMoving) {
      routes.add(route(MOVES, movingTo));
    }
    return StoreJson.configuration(
        new ForwardingConfiguration(version, IDLE_TIMEOUT_MS, routes, Map.of()));
  }

  private static ForwardingRoute route(int address, String service) {
    List<WeightedService> services = List.of(new WeightedService(service, 1));
    return new ForwardingRoute(address, PORT, TIMEOUT_MS, false, services);
  }
}
