package io.moorstage.core.state;

/** The phase in the life cycle of a target, as listed by the configuration source. */
public enum TargetPhase {
  /** Accepts new flows. */
  READY,
  /** Accepts no new flow, but serves the flows that it holds. */
  DRAINING,
  /** No longer listed, but may still serve the flows that it holds. */
  GONE
}
