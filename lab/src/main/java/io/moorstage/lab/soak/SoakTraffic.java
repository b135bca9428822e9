package io.moorstage.lab.soak;

import io.moorstage.lab.client.FlowClients;
import io.moorstage.lab.client.FlowPlan;
import io.moorstage.lab.client.Traffic;
import io.moorstage.lab.edge.Packets;
import java.util.Optional;
import java.util.Random;

/** The load of a soak: new flows at random moments, a third of them with many requests. */
final class SoakTraffic implements Traffic {
  /** A load that the soak's targets bear while a zone is evacuated. */
  static final int FLOWS_PER_S = 40;

  private static final int MS_PER_S = 1_000;
  private static final int[] STAYING_ROUTES = {
    SoakRoutes.TABLES, SoakRoutes.TABLES, SoakRoutes.BUNDLES
  };
  private static final int ONE_IN_MANY_REQUESTS = 3;
  private static final int MIN_MANY_REQUESTS = 2;
  private static final int MANY_REQUESTS_RANGE = 12;

  /** Where the extra route is there, this share goes to it; one in ten elsewhere, to see resets. */
  private static final int ONE_IN_EXTRA = 5;

  private static final int ONE_IN_DROPPED = 10;
  private static final int ONE_IN_LONG_RESTS = 4;
  private static final int LONG_REST_MS = 3_000;
  private static final int SHORT_REST_MS = 300;

  /** Flows of the route that moves: a quarter of all, each for some 20 s and so several moves. */
  private static final int ONE_IN_MOVING = 4;

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
      Packets.End moving = new Packets.End(SoakRoutes.MOVES, SoakRoutes.PORT);
      return Optional.of(new FlowPlan(moving, REQUESTS_OF_MOVING));
    }
    Packets.End service = new Packets.End(route(nowMs), SoakRoutes.PORT);
    boolean many = random.nextInt(ONE_IN_MANY_REQUESTS) == 0;
    int requests = many ? MIN_MANY_REQUESTS + random.nextInt(MANY_REQUESTS_RANGE) : 1;
    return Optional.of(new FlowPlan(service, requests));
  }

  private int route(long nowMs) {
    boolean extra = nowMs > routes.extraSinceMs() || random.nextInt(ONE_IN_DROPPED) == 0;
    if (extra && random.nextInt(ONE_IN_EXTRA) == 0) {
      return SoakRoutes.COMES_AND_GOES;
    }
    return STAYING_ROUTES[random.nextInt(STAYING_ROUTES.length)];
  }

  @Override
  public int thinkTimeMs() {
    boolean longRest = random.nextInt(ONE_IN_LONG_RESTS) == 0;
    return random.nextInt(longRest ? LONG_REST_MS : SHORT_REST_MS);
  }
}
