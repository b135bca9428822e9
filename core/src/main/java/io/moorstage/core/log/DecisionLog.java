package io.moorstage.core.log;

import io.moorstage.core.flow.FlowId;

/** Records decisions about flows. Implementations must not block. */
public interface DecisionLog {
  /** Discards all decisions. */
  DecisionLog NONE = (decision, flow, address, reason, ageMs) -> {};

  /** Reason of a reset: the service is overloaded and does not admit the opening's rank. */
  String OVERLOADED = "overloaded";

  /**
   * Records a decision.
   *
   * @param decision the decision
   * @param flow the flow that it concerns
   * @param address IPv4 address of the machine that it concerns, 0 if there is none
   * @param reason the reason, a constant that operators can search for
   * @param ageMs the age of the state, flow or request on which the decision is based, in
   *     milliseconds; -1 if not applicable
   */
  void decided(Decision decision, FlowId flow, int address, String reason, long ageMs);
}
