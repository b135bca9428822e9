package io.moorstage.lab.demo;

import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.lab.client.FlowClients;
import io.moorstage.lab.client.FlowPlan;
import io.moorstage.lab.client.Traffic;
import io.moorstage.lab.edge.Packets;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** Steady load on all routes: new flows at random times, each with one to eight requests. */
final class DemoTraffic implements Traffic {
  /**
   * Leaves most of two cores idle, so that the table shows the speed of the programs and not the
   * limits of the machine.
   */
  static final int FLOWS_PER_S = 40;

  private static final int MS_PER_S = 1_000;
  private static final int MAX_REQUESTS = 8;
  private static final int MAX_THINK_TIME_MS = 500;

  private final List<ForwardingRoute> routes;
  private final Random random;
  private volatile boolean stopped;

  DemoTraffic(List<ForwardingRoute> routes, Random random) {
    this.routes = List.copyOf(routes);
    this.random = random;
  }

  /** Stops opening flows; open flows continue. */
  void stop() {
    stopped = true;
  }

  @Override
  public Optional<FlowPlan> next(long nowMs) {
    if (stopped || random.nextInt(MS_PER_S) >= FLOWS_PER_S * FlowClients.STEP_MS) {
      return Optional.empty();
    }
    ForwardingRoute route = routes.get(random.nextInt(routes.size()));
    Packets.End service = new Packets.End(route.address(), route.port());
    return Optional.of(new FlowPlan(service, 1 + random.nextInt(MAX_REQUESTS)));
  }

  @Override
  public int thinkTimeMs() {
    return random.nextInt(MAX_THINK_TIME_MS);
  }
}
