package io.moorstage.forwarding.daemon;

import io.moorstage.core.balancer.BalancerActions;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.forwarding.net.MonotonicClock;
import io.moorstage.forwarding.peer.FlowQueryBatcher;
import io.moorstage.forwarding.peer.PeerDirectory;
import io.moorstage.forwarding.peer.PeerMessage;
import io.moorstage.forwarding.peer.PeerSender;
import io.moorstage.forwarding.settings.ForwardingSettings;
import io.moorstage.forwarding.state.StateKeeper;
import java.nio.ByteBuffer;

/**
 * Executes a balancer's decisions. The methods are called under the balancer's lock, which also
 * guards the senders.
 */
final class BalancerOutput implements BalancerActions, FlowQueryBatcher.Sender {
  /**
   * The maximum number of balancers that are queried about a flow that none of the queried agents
   * has reported. The queries reach the balancers of the own zone and some of other zones, and
   * their number does not grow with the fleet.
   */
  private static final int MAX_QUERIED_BALANCERS = 12;

  private final String zone;
  private final PeerSender peers;
  private final ClientSender clients;
  private final PeerDirectory balancers;
  private final StateKeeper keeper;
  private final PeerCatchUp catchUp;
  private final FlowQueryBatcher queryBatcher;

  BalancerOutput(
      ForwardingSettings settings,
      PeerSender peers,
      ClientSender clients,
      PeerDirectory balancers,
      StateKeeper keeper,
      PeerCatchUp catchUp) {
    this.zone = settings.zone();
    this.peers = peers;
    this.clients = clients;
    this.balancers = balancers;
    this.keeper = keeper;
    this.catchUp = catchUp;
    boolean batchesQueries = settings.policy().uses(Mechanism.GATHERED_QUESTIONS);
    this.queryBatcher = new FlowQueryBatcher(batchesQueries ? MainLoop.TICK_MS : 0, this);
  }

  @Override
  public void forward(int agentAddress, ForwardTerms terms, ByteBuffer datagram) {
    peers.send(new PeerMessage.Forward(terms, datagram), agentAddress);
  }

  @Override
  public void send(PeerMessage.FlowQuery query, int address) {
    peers.send(query, address);
  }

  @Override
  public void query(int peerAddress, FlowId flow) {
    queryBatcher.query(peerAddress, flow, MonotonicClock.nowMs());
  }

  @Override
  public void flush() {
    queryBatcher.flush(MonotonicClock.nowMs());
  }

  @Override
  public void queryBalancers(FlowId flow) {
    long nowMs = MonotonicClock.nowMs();
    for (int peer : balancers.livePeers(zone, MAX_QUERIED_BALANCERS, nowMs)) {
      query(peer, flow);
    }
  }

  @Override
  public void reset(FlowId flow, int sequence) {
    clients.sendReset(flow, sequence);
  }

  @Override
  public void fetchState(int peerAddress, long configurationVersion) {
    // Not every agent keeps a copy of the state, so a balancer with a newer state is preferred.
    int mostAdvanced = balancers.mostAdvanced(keeper.state().revision(), MonotonicClock.nowMs());
    catchUp.fetch(mostAdvanced == 0 ? peerAddress : mostAdvanced);
  }
}
