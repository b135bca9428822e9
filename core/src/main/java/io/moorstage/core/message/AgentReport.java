package io.moorstage.core.message;

/**
 * The status of an agent and its target, as the agent reports it to balancers.
 *
 * @param address IPv4 address of the machine that runs both the agent and its target
 * @param service the target's service
 * @param zone the agent's zone
 * @param busyFlows number of flows with a request that is in progress at the target or queued at
 *     the agent
 * @param stopping whether the agent is shutting down
 * @param targetEjected whether the target gets no new flows, since it is ejected as an outlier and
 *     no probe is due
 * @param targetEnded whether the target's process has ended, so that it holds no flows
 * @param capacityReport what the agent has measured of the target's capacity
 */
public record AgentReport(
    int address,
    String service,
    String zone,
    int busyFlows,
    boolean stopping,
    boolean targetEjected,
    boolean targetEnded,
    CapacityReport capacityReport) {

  /** Creates a report of an agent that has measured nothing yet. */
  public AgentReport(
      int address,
      String service,
      String zone,
      int busyFlows,
      boolean stopping,
      boolean targetEjected,
      boolean targetEnded) {
    this(
        address,
        service,
        zone,
        busyFlows,
        stopping,
        targetEjected,
        targetEnded,
        CapacityReport.UNKNOWN);
  }
}
