package io.moorstage.lab.soak;

import io.moorstage.lab.client.FlowPlan;
import io.moorstage.lab.client.Traffic;
import io.moorstage.lab.edge.Packets;
import java.util.Optional;
import java.util.Random;

/**
 * The traffic of a soak with urgent requests among it, retries, and bursts of additional flows with
 * one request each, during which clients ask for about 1.8 times what both services can serve.
 */
final class LoadTraffic implements Traffic {
  private static final double MS_PER_S = 1_000;

  /** Flows that could not be opened for longer are left out instead of opened all at once. */
  private static final int MAX_DELAY_MS = 100;

  private static final int EXTRA_FLOWS_PER_S = 240;

  /** Splits the additional flows by what the two services can serve. */
  private static final double FRACTION_OF_TABLES = 0.6;

  private static final int MIN_BURST_MS = 3_000;
  private static final int BURST_RANGE_MS = 3_000;
  private static final int MIN_BURST_INTERVAL_MS = 6_000;
  private static final int BURST_INTERVAL_RANGE_MS = 8_000;

  /** Attempts after the first one, from the platform's documentation. */
  private static final int RETRIES = 2;

  /**
   * Flows of the route that moves carry 40 requests each. If none were left out, they alone would
   * ask for more than the targets can serve.
   */
  private static final int ONE_IN_KEPT_MOVING = 10;

  /** A third of the requests are urgent, as in the contention workload. */
  private static final int ONE_IN_URGENT = 3;

  private final Traffic steady;
  private final Random random;
  private long burstFromMs;
  private long burstUntilMs;
  private double extraFlowDueMs;

  LoadTraffic(Traffic steady, Random random) {
    this.steady = steady;
    this.random = random;
  }

  /** Starts a burst, unless one is in progress. */
  synchronized void startBurst(long nowMs) {
    if (nowMs > burstUntilMs || nowMs < burstFromMs) {
      scheduleBurst(nowMs);
    }
  }

  private void scheduleBurst(long fromMs) {
    burstFromMs = fromMs;
    burstUntilMs = fromMs + MIN_BURST_MS + random.nextInt(BURST_RANGE_MS);
  }

  @Override
  public synchronized Optional<FlowPlan> next(long nowMs) {
    if (nowMs > burstUntilMs) {
      scheduleBurst(nowMs + MIN_BURST_INTERVAL_MS + random.nextInt(BURST_INTERVAL_RANGE_MS));
    }
    if (nowMs >= burstFromMs && isExtraFlowDue(nowMs)) {
      boolean isOfTables = random.nextDouble() < FRACTION_OF_TABLES;
      return Optional.of(plan(isOfTables ? SoakRoutes.TABLES : SoakRoutes.BUNDLES, 1));
    }
    return steady
        .next(nowMs)
        .filter(this::isKept)
        .map(flow -> plan(flow.service().address(), flow.requests()));
  }

  private boolean isKept(FlowPlan flow) {
    return flow.service().address() != SoakRoutes.MOVING || random.nextInt(ONE_IN_KEPT_MOVING) == 0;
  }

  // By time and not by the number of calls, since steps take longer than FlowClients.STEP_MS.
  private boolean isExtraFlowDue(long nowMs) {
    extraFlowDueMs = Math.max(extraFlowDueMs, (double) nowMs - MAX_DELAY_MS);
    boolean isDue = nowMs >= extraFlowDueMs;
    if (isDue) {
      extraFlowDueMs += MS_PER_S / EXTRA_FLOWS_PER_S;
    }
    return isDue;
  }

  private FlowPlan plan(int route, int requests) {
    boolean isUrgent = random.nextInt(ONE_IN_URGENT) == 0;
    int address = isUrgent ? urgentRoute(route) : route;
    return new FlowPlan(new Packets.End(address, SoakRoutes.PORT), requests, RETRIES);
  }

  private static int urgentRoute(int route) {
    return switch (route) {
      case SoakRoutes.TABLES -> SoakRoutes.URGENT_TABLES;
      case SoakRoutes.BUNDLES -> SoakRoutes.URGENT_BUNDLES;
      default -> route;
    };
  }

  @Override
  public int thinkTimeMs() {
    return steady.thinkTimeMs();
  }
}
