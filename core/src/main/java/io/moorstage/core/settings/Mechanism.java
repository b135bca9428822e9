package io.moorstage.core.settings;

import javax.annotation.Nullable;

/**
 * A mechanism that can be switched off to measure its effect. All are on in operation; {@code
 * docs/MEASURED-POLICY.md} states the measured effect of each.
 */
public enum Mechanism {
  /** A new flow goes to the less loaded of two targets, not just to the highest ranked one. */
  TWO_CHOICES("two-choices"),
  /** A new flow stays in the balancer's zone while a target there has room. */
  OWN_ZONE_FIRST("own-zone-first"),
  /**
   * Load is taken from reports of agents, not just from the flows that this balancer has placed.
   */
  LOAD_REPORTS("load-reports"),
  /**
   * While the service times of a service's targets differ, a new flow goes to the target of four
   * that is expected to answer first.
   */
  SERVICE_TIMES("service-times"),
  /** A request waits at its agent while the target is at its limit of concurrent requests. */
  GATE("gate"),
  /** The newest waiting request goes first while the oldest one has waited too long. */
  NEWEST_FIRST("newest-first"),
  /** Requests that have waited for long get every other place that becomes free. */
  LONG_WAIT_TURNS("long-wait-turns"),
  /** A target that does not answer opening segments in time gets no new flows for a while. */
  SUSPICION("suspicion"),
  /** A target that breaks off several requests in a row, or stalls, is ejected from new flows. */
  OUTLIER_DETECTION("outlier-detection"),
  /**
   * The agent of an ejected target rejects new flows, besides reporting the ejection to balancers.
   */
  OUTLIER_REFUSAL("outlier-refusal"),
  /** A target that has just started is ranked as more loaded than it is. */
  SLOW_START("slow-start"),
  /** Segments that arrive before the first state are held until it arrives. */
  EARLY_SEGMENTS("early-segments"),
  /** Just after a balancer's start, targets that only their agents report may get new flows. */
  UNLISTED_TARGETS("unlisted-targets"),
  /** A node that starts waits for the state of a peer before it reads the source. */
  PEER_STATE_FIRST("peer-state-first"),
  /** Queries for flows are batched. */
  GATHERED_QUESTIONS("gathered-questions"),
  /** The last steps of a start wait until the processor is free. */
  PACED_START("paced-start"),
  /** A balancer that is isolated from agents and other balancers fails its readiness check. */
  ISOLATION("isolation"),
  /** One balancer of a zone reads the source for the others. */
  SOURCE_READERS("source-readers");

  private final String code;

  Mechanism(String code) {
    this.code = code;
  }

  /** Returns the name in settings and logs. */
  public String code() {
    return code;
  }

  /** Returns the mechanism with a name in settings, or null if there is none. */
  @Nullable
  public static Mechanism ofCode(String code) {
    for (Mechanism mechanism : values()) {
      if (mechanism.code.equals(code)) {
        return mechanism;
      }
    }
    return null;
  }
}
