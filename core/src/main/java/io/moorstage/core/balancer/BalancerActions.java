package io.moorstage.core.balancer;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.ForwardTerms;
import java.nio.ByteBuffer;

/** Executes a balancer's decisions. The methods are called under a lock and must not block. */
public interface BalancerActions {

  /**
   * Sends a client's segment to the agent of a target.
   *
   * @param agentAddress the address of the machine of agent and target
   * @param terms the terms that accompany the segment
   * @param datagram the segment
   */
  void forward(int agentAddress, ForwardTerms terms, ByteBuffer datagram);

  /**
   * Queries an agent or another balancer about a flow. The query may be batched and is sent no
   * later than the next {@link #flush}.
   */
  void query(int peerAddress, FlowId flow);

  /** Sends the batched queries. */
  void flush();

  /** Queries the other balancers, up to a maximum number of them, about a flow. */
  void queryBalancers(FlowId flow);

  /**
   * Sends a reset to a flow's client.
   *
   * @param sequence the sequence number of the reset: the acknowledgement number of the client's
   *     segment
   */
  void reset(FlowId flow, int sequence);

  /**
   * Fetches the state of a peer that has seen a newer configuration than this balancer.
   *
   * @param configurationVersion the newest configuration version that the peer has seen
   */
  void fetchState(int peerAddress, long configurationVersion);
}
