package io.moorstage.lab.targets;

import java.util.Random;

/**
 * The work of a target's requests: how many it works on at a time, how many more it queues, and how
 * long each takes. Work times are log-normal, as in docs/design/overload-and-unequal-targets.md.
 *
 * @param capacity the requests that the target works on at a time
 * @param queueLength the requests that it queues beyond those
 * @param meanMs the mean work time of a request, in milliseconds
 */
public record TargetWork(int capacity, int queueLength, double meanMs) {
  private static final double SIGMA = 0.5;

  /** Makes the mean of the log-normal distribution 1. */
  private static final double MU = -SIGMA * SIGMA / 2;

  /**
   * Bounds a single request, so that one that does not wait is answered within its objective; two
   * per cent of the requests reach the bound.
   */
  private static final double MAX_RATIO = 3;

  /** Draws the work time of a request, in milliseconds. */
  long drawMs(Random random) {
    double ratio = Math.min(MAX_RATIO, Math.exp(MU + SIGMA * random.nextGaussian()));
    return Math.round(meanMs * ratio);
  }
}
