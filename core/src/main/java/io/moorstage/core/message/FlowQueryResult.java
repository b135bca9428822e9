package io.moorstage.core.message;

/** The response of an agent or a balancer to a query for the target that holds a flow. */
public enum FlowQueryResult {
  /** The queried agent's target holds the flow. */
  HELD,
  /** The queried agent's target does not hold the flow. */
  NOT_HELD,
  /** The queried agent's target held the flow and has lost it. */
  LOST,
  /** The queried agent has no record of the flow and has not run long enough to rule it out. */
  UNKNOWN,
  /**
   * The named target may hold the flow: the queried balancer has it on record, or the queried
   * agent's own target was sent the opening segment and has not responded to any later one.
   */
  KNOWN_ELSEWHERE,
  /**
   * The queried agent has no record of the flow, and its target has most likely started no sooner
   * than the agent, so the target is unlikely to hold the flow.
   */
  UNLIKELY;

  private static final FlowQueryResult[] VALUES = values();

  /** Returns the result with an ordinal, as messages carry it, or null if there is none. */
  public static FlowQueryResult ofNumber(int number) {
    return number >= 0 && number < VALUES.length ? VALUES[number] : null;
  }
}
