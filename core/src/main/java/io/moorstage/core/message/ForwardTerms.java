package io.moorstage.core.message;

import javax.annotation.Nullable;

/**
 * The parameters that a balancer sends to an agent with each segment that it forwards.
 *
 * @param service the service that the segment is meant for
 * @param configurationVersion version of the configuration on which the balancer based its decision
 * @param timeoutMs time-out of requests on the flow's route, in milliseconds; 0 if not known
 * @param coldOpeningsPerS the most new flows that a cold target of the service may get per second;
 *     0 for no limit
 * @param repeatable whether requests on the flow's route may be repeated
 * @param overridesEjection whether the target must be given a new flow even if its agent has
 *     ejected it, since most targets of the service are ejected
 * @param scheduling how the agent schedules the flow's requests under overload; null if overload
 *     control is off
 */
public record ForwardTerms(
    String service,
    long configurationVersion,
    int timeoutMs,
    int coldOpeningsPerS,
    boolean repeatable,
    boolean overridesEjection,
    @Nullable SchedulingTerms scheduling) {

  /** Creates terms without overload control. */
  public ForwardTerms(
      String service,
      long configurationVersion,
      int timeoutMs,
      int coldOpeningsPerS,
      boolean repeatable,
      boolean overridesEjection) {
    this(
        service,
        configurationVersion,
        timeoutMs,
        coldOpeningsPerS,
        repeatable,
        overridesEjection,
        null);
  }
}
