package io.moorstage.forwarding.peer;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import java.nio.ByteBuffer;
import java.util.List;
import javax.annotation.Nullable;

/** A datagram that balancers and agents send to each other. */
public sealed interface PeerMessage {

  /**
   * A balancer forwards a client's segment to an agent.
   *
   * @param datagram the segment
   */
  record Forward(ForwardTerms terms, ByteBuffer datagram) implements PeerMessage {}

  /**
   * An agent gives a client's segment back.
   *
   * @param reason why
   * @param configurationVersion the newest configuration that the agent has seen in effect
   * @param datagram the segment
   */
  record GiveBack(GiveBackReason reason, long configurationVersion, ByteBuffer datagram)
      implements PeerMessage {}

  /**
   * A balancer asks for flows.
   *
   * @param flows at most {@link PeerMessageCodec#MAX_FLOWS}
   */
  record Ask(List<FlowId> flows) implements PeerMessage {}

  /**
   * The answer to {@link Ask}.
   *
   * @param flows what the answering node knows of each flow, or of some of them
   */
  record Answer(List<FlowAnswer> flows) implements PeerMessage {}

  /**
   * What a node knows of a flow.
   *
   * @param flow the flow
   * @param knowledge what the answering node knows
   * @param targetAddress the machine of the target that holds the flow, 0 if unknown
   */
  record FlowAnswer(FlowId flow, FlowQueryResult knowledge, int targetAddress) {}

  /**
   * A balancer reports that it lives.
   *
   * @param revision the source's revision that the balancer has
   * @param zone the balancer's zone
   * @param target what the balancer knows of the receiving agent's target; null if none is listed
   * @param keepsCopy whether the receiving agent keeps a copy of the state
   * @param reportIntervalMs how often at most the balancer wants to hear of the agent's load
   * @param confirmedAgeMs how long ago the source confirmed the state; {@link #NOT_CONFIRMED} if
   *     the balancer does not read the source, or is not answered
   * @param balancers addresses of some balancers that it has heard from
   */
  record BalancerBeacon(
      long revision,
      String zone,
      @Nullable TargetReport target,
      boolean keepsCopy,
      int reportIntervalMs,
      int confirmedAgeMs,
      int[] balancers)
      implements PeerMessage {
    /** The age on the wire of a confirmation that there is not. */
    public static final int NOT_CONFIRMED = -1;

    /** Returns whether the balancer reads the source and is answered. */
    public boolean isConfirmed() {
      return confirmedAgeMs >= 0;
    }
  }

  /**
   * An agent reports that it lives.
   *
   * @param service the service of its target
   * @param zone the agent's zone
   * @param revision the source's revision of the state copy that the agent keeps, 0 for none
   * @param busyFlows flows of its target with a request in progress
   * @param stopping whether the agent is about to end
   * @param targetEjected whether the target has broken off requests of late, or answers none
   * @param targetEnded whether the target's process has ended
   * @param balancers addresses of some balancers that it has heard from
   */
  record AgentBeacon(
      String service,
      String zone,
      long revision,
      int busyFlows,
      boolean stopping,
      boolean targetEjected,
      boolean targetEnded,
      int[] balancers)
      implements PeerMessage {}
}
