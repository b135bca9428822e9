package io.moorstage.forwarding.daemon;

import io.moorstage.core.balancer.BalancerActions;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.forwarding.net.MonotonicClock;
import io.moorstage.forwarding.peer.FlowQuestions;
import io.moorstage.forwarding.peer.PeerDirectory;
import io.moorstage.forwarding.peer.PeerMessage;
import io.moorstage.forwarding.peer.PeerSender;
import io.moorstage.forwarding.settings.ForwardingSettings;
import io.moorstage.forwarding.state.StateKeeper;
import java.nio.ByteBuffer;

/** Carries out a balancer's decisions; called under its lock, which guards the senders too. */
final class BalancerOutput implements BalancerActions, FlowQuestions.Sender {
  /**
   * Balancers that are asked for a flow that no agent asked knows. Not measured; chosen so that a
   * question goes to a zone's balancers and some elsewhere, however large the fleet is.
   */
  private static final int MAX_ASKED_BALANCERS = 12;

  private final String zone;
  private final PeerSender peers;
  private final ClientSender clients;
  private final PeerDirectory balancers;
  private final StateKeeper keeper;
  private final PeerCatchUp catchUp;
  private final FlowQuestions questions;

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
    boolean gathers = settings.policy().uses(Mechanism.GATHERED_QUESTIONS);
    this.questions = new FlowQuestions(gathers ? MainLoop.TICK_MS : 0, this);
  }

  @Override
  public void forward(int agentAddress, ForwardTerms terms, ByteBuffer datagram) {
    peers.send(new PeerMessage.Forward(terms, datagram), agentAddress);
  }

  @Override
  public void send(PeerMessage.Ask ask, int address) {
    peers.send(ask, address);
  }

  @Override
  public void query(int peerAddress, FlowId flow) {
    questions.ask(peerAddress, flow, MonotonicClock.nowMs());
  }

  @Override
  public void flush() {
    questions.flush(MonotonicClock.nowMs());
  }

  @Override
  public void queryBalancers(FlowId flow) {
    long nowMs = MonotonicClock.nowMs();
    for (int peer : balancers.live(zone, MAX_ASKED_BALANCERS, nowMs)) {
      query(peer, flow);
    }
  }

  @Override
  public void reset(FlowId flow, int sequence) {
    clients.sendReset(flow, sequence);
  }

  @Override
  public void fetchState(int peerAddress, long configurationVersion) {
    // Not each agent keeps a copy of the state.
    int ahead = balancers.mostAdvanced(keeper.state().revision(), MonotonicClock.nowMs());
    catchUp.fetch(ahead == 0 ? peerAddress : ahead);
  }
}
