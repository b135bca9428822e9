package io.moorstage.core.agent;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.GiveBackReason;
import java.nio.ByteBuffer;

/** Carries out an agent's decisions. Calls are made under the agent's lock and must not block. */
public interface AgentActions {

  /** Delivers a client's segment to the target. */
  void deliver(ByteBuffer datagram);

  /** Sends a target's segment to its client. */
  void sendToClient(FlowId flow, ByteBuffer datagram);

  /** Gives a client's segment back to the balancer that sent it. */
  void giveBack(
      int balancerAddress, GiveBackReason reason, long configurationVersion, ByteBuffer datagram);

  /** Reports to a balancer that the target holds a flow that the balancer searches for. */
  void reportHeld(int balancerAddress, FlowId flow);

  /**
   * Starts a check whether the target's process accepts connections; its result goes to {@link
   * FlowAgent#onTargetCheck}.
   */
  void checkTarget();

  /** Sends a reset with a sequence number to a flow's client. */
  void reset(FlowId flow, int sequence);
}
