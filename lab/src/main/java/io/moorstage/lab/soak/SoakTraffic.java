package io.moorstage.lab.soak;

import io.moorstage.lab.client.FlowClients;
import io.moorstage.lab.client.FlowPlan;
import io.moorstage.lab.client.Traffic;
import io.moorstage.lab.edge.Packets;
import java.util.Optional;
import java.util.Random;

/** The load of a soak: new flows at random times, a third of them with several requests. */
final class SoakTraffic implements Traffic {
  /** Low enough that the remaining targets can serve all flows while a zone is evacuated. */
  static final int FLOWS_PER_S = 40;

  private static final int MS_PER_S = 1_000;
  private static final int[] PERMANENT_ROUTES = {
    SoakRoutes.TABLES, SoakRoutes.TABLES, SoakRoutes.BUNDLES
  };
  private static final int ONE_IN_MANY_REQUESTS = 3;
  private static final int MIN_MANY_REQUESTS = 2;
  private static final int MANY_REQUESTS_RANGE = 12;

  /** While the intermittent route is configured, one in five flows uses it. */
  private static final int ONE_IN_INTERMITTENT = 5;

  /**
   * While the intermittent route is not configured, its share of the flows is ten times smaller,
   * which is enough to exercise the resets of flows without a route.
   */
  private static final int ONE_IN_UNROUTED = 10;

  private static final int ONE_IN_LONG_THINK_TIMES = 4;
  private static final int MAX_LONG_THINK_TIME_MS = 3_000;
  private static final int MAX_SHORT_THINK_TIME_MS = 300;

  /** A quarter of all flows use the moving route. */
  private static final int ONE_IN_MOVING = 4;

  /** Makes such a flow last about 20 s, during which its route moves several times. */
  private static final int REQUESTS_OF_MOVING = 40;

  private final SoakRoutes routes;
  private final Random random;

  SoakTraffic(SoakRoutes routes, Random random) {
    this.routes = routes;
    this.random = random;
  }

  @Override
  public Optional<FlowPlan> next(long nowMs) {
    if (random.nextInt(MS_PER_S) >= FLOWS_PER_S * FlowClients.STEP_MS) {
      return Optional.empty();
    }
    if (routes.hasMoving() && random.nextInt(ONE_IN_MOVING) == 0) {
      Packets.End moving = new Packets.End(SoakRoutes.MOVING, SoakRoutes.PORT);
      return Optional.of(new FlowPlan(moving, REQUESTS_OF_MOVING));
    }
    Packets.End service = new Packets.End(route(nowMs), SoakRoutes.PORT);
    boolean hasManyRequests = random.nextInt(ONE_IN_MANY_REQUESTS) == 0;
    int requests = hasManyRequests ? MIN_MANY_REQUESTS + random.nextInt(MANY_REQUESTS_RANGE) : 1;
    return Optional.of(new FlowPlan(service, requests));
  }

  private int route(long nowMs) {
    boolean mayUseIntermittent =
        nowMs > routes.intermittentSinceMs() || random.nextInt(ONE_IN_UNROUTED) == 0;
    if (mayUseIntermittent && random.nextInt(ONE_IN_INTERMITTENT) == 0) {
      return SoakRoutes.INTERMITTENT;
    }
    return PERMANENT_ROUTES[random.nextInt(PERMANENT_ROUTES.length)];
  }

  @Override
  public int thinkTimeMs() {
    boolean isLong = random.nextInt(ONE_IN_LONG_THINK_TIMES) == 0;
    return random.nextInt(isLong ? MAX_LONG_THINK_TIME_MS : MAX_SHORT_THINK_TIME_MS);
  }
}
