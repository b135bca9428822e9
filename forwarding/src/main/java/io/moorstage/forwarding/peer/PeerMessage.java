package io.moorstage.forwarding.peer;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.CapacityReport;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import java.nio.ByteBuffer;
import java.util.List;
import javax.annotation.Nullable;

/** A message in a datagram between balancers and agents. */
public sealed interface PeerMessage {

  /**
   * A client's segment that a balancer forwards to an agent.
   *
   * @param terms what the balancer knows of the segment's flow
   * @param datagram the segment
   */
  record Forward(ForwardTerms terms, ByteBuffer datagram) implements PeerMessage {}

  /**
   * A client's segment that an agent gives back to the balancer that forwarded it.
   *
   * @param reason why the agent does not deliver it
   * @param configurationVersion the newest configuration that the agent has seen in effect
   * @param datagram the segment
   */
  record GiveBack(GiveBackReason reason, long configurationVersion, ByteBuffer datagram)
      implements PeerMessage {}

  /**
   * A balancer's query for flows.
   *
   * @param flows at most {@link PeerMessageCodec#MAX_FLOWS}
   */
  record FlowQuery(List<FlowId> flows) implements PeerMessage {}

  /**
   * The response to a {@link FlowQuery}.
   *
   * @param results the results for all or some of the flows in the query
   */
  record FlowQueryResponse(List<FlowResult> results) implements PeerMessage {}

  /**
   * The result of a query for one flow.
   *
   * @param flow the flow
   * @param result what the responding node knows of the flow
   * @param targetAddress the machine of the target that holds the flow, 0 if unknown
   */
  record FlowResult(FlowId flow, FlowQueryResult result, int targetAddress) {}

  /**
   * A beacon of a live balancer.
   *
   * @param revision the revision of the balancer's state
   * @param zone the balancer's zone
   * @param target the record of the receiving agent's target; null if none is listed
   * @param keepsCopy whether the receiving agent is to keep a copy of the state
   * @param reportIntervalMs the shortest time between two beacons that the receiving agent may send
   *     to the balancer, in milliseconds
   * @param confirmationAgeMs the time since the source last confirmed the state, in milliseconds;
   *     {@link #NOT_CONFIRMED} if the balancer does not read the source, or gets no response
   * @param balancers addresses of some live balancers
   */
  record BalancerBeacon(
      long revision,
      String zone,
      @Nullable TargetReport target,
      boolean keepsCopy,
      int reportIntervalMs,
      int confirmationAgeMs,
      int[] balancers)
      implements PeerMessage {
    /** The value of {@code confirmationAgeMs} without a confirmation. */
    public static final int NOT_CONFIRMED = -1;

    /** Returns whether the balancer reads the source and gets responses. */
    public boolean isConfirmed() {
      return confirmationAgeMs >= 0;
    }
  }

  /**
   * A beacon of a live agent.
   *
   * @param service the service of its target
   * @param zone the agent's zone
   * @param revision the revision of the agent's copy of the state, 0 without a copy
   * @param busyFlows flows of its target with a request in progress
   * @param stopping whether the agent is about to exit
   * @param targetEjected whether outlier detection has ejected the target, since it recently broke
   *     off requests or responds to none
   * @param targetEnded whether the target's process has ended
   * @param capacityReport what the agent has measured of the target's capacity
   * @param balancers addresses of some live balancers
   */
  record AgentBeacon(
      String service,
      String zone,
      long revision,
      int busyFlows,
      boolean stopping,
      boolean targetEjected,
      boolean targetEnded,
      CapacityReport capacityReport,
      int[] balancers)
      implements PeerMessage {}
}
