package io.moorstage.lab.soak;

import io.moorstage.lab.client.FlowPlan;
import io.moorstage.lab.client.Traffic;
import java.util.Optional;
import java.util.Random;

/**
 * The traffic of a soak with many flows that stay open and rest for seconds. A balancer that starts
 * meanwhile does not know these flows when they go on.
 */
final class RestingTraffic implements Traffic {
  private static final int ONE_IN_LONG = 2;

  /** Makes such a flow last about half a minute. */
  private static final int REQUESTS_OF_LONG = 10;

  private static final int ONE_IN_RESTS = 2;
  private static final int MIN_REST_MS = 2_000;
  private static final int REST_RANGE_MS = 6_000;

  private final Traffic steady;
  private final Random random;

  RestingTraffic(Traffic steady, Random random) {
    this.steady = steady;
    this.random = random;
  }

  @Override
  public Optional<FlowPlan> next(long nowMs) {
    return steady.next(nowMs).map(this::lengthenSometimes);
  }

  private FlowPlan lengthenSometimes(FlowPlan flow) {
    boolean isLong = flow.requests() < REQUESTS_OF_LONG && random.nextInt(ONE_IN_LONG) == 0;
    return isLong ? new FlowPlan(flow.service(), REQUESTS_OF_LONG) : flow;
  }

  @Override
  public int thinkTimeMs() {
    boolean rests = random.nextInt(ONE_IN_RESTS) == 0;
    return rests ? MIN_REST_MS + random.nextInt(REST_RANGE_MS) : steady.thinkTimeMs();
  }
}
