package io.moorstage.core.settings;

/**
 * How long nodes keep flows and targets that are no longer in use.
 *
 * @param closedFlowMs how long a closed flow is kept after its last segment, in milliseconds
 * @param flowMs how long a flow that was not closed is kept after its last segment, in
 *     milliseconds; also how long an agent must have run before its record of its target's flows is
 *     complete
 * @param goneTargetMs how long a target is kept after the source has ceased to list it, and an
 *     agent after its last beacon, in milliseconds
 */
public record RetentionSettings(int closedFlowMs, int flowMs, int goneTargetMs) {

  /**
   * Late copies of a closed flow's segments arrive within 3 s of the first, at intervals of 0.2 to
   * 1.6 s.
   */
  private static final int CLOSED_FLOW_MS = 5_000;

  /** A flow lives up to 60 s; the rest allows for clock differences and the sweep interval. */
  private static final int FLOW_MS = 65_000;

  /** Longer than a flow is kept, so that no flow refers to a target that is already removed. */
  private static final int GONE_TARGET_MS = FLOW_MS + 5_000;

  /** Values for flows that live up to a minute. */
  public static final RetentionSettings STANDARD =
      new RetentionSettings(CLOSED_FLOW_MS, FLOW_MS, GONE_TARGET_MS);
}
