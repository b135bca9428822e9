package io.moorstage.lab.monitor;

/** The rules that a fleet can break; docs/SOAK.md maps each to the platform's rule. */
public enum Rule {
  /** A target receives a packet that no client has sent in this form. */
  CHANGED_PACKET,
  /** A flow opens at a target of a service that its route does not include. */
  WRONG_SERVICE,
  /** A request runs at a second target, or a second time at the same target. */
  RAN_TWICE,
  /** A client receives a response to another request, or from another target. */
  FOREIGN_ANSWER,
  /** A client receives an acceptance that no target has sent. */
  FOREIGN_PACKET,
  /** A client receives a reset although its flow's target is alive and holds the flow. */
  OPEN_FLOW_RESET,
  /** Packets of an open flow reach only other targets for too long, while its own is alive. */
  MISROUTED_FLOW,
  /** A flow opens at a target too long after it began to drain or its zone was evacuated. */
  LATE_OPENING,
  /** A flow opens too long after its route was removed or moved to another service. */
  OLD_CONFIGURATION,
  /** After the faults have ended, too few requests are served. */
  NO_RECOVERY,
  /** A process has ended although the harness did not stop it. */
  ENDED_BY_ITSELF,
  /** A request of priority 1 is not served in time while most requests of priority 2 are. */
  URGENT_WAITED,
  /** Too many of the rejected openings are reset later than a quarter of their objective. */
  LATE_REJECTION,
  /** A target accepts a flow, or runs its request, although the opening was reset. */
  FALSE_REJECTION,
  /** A target has no request for too long while openings of its service are rejected. */
  IDLE_TARGET,
  /** The harness itself has failed, which makes the results of the run invalid. */
  HARNESS
}
