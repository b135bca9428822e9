package io.moorstage.forwarding.daemon;

import io.moorstage.core.balancer.FlowBalancer;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.flow.SegmentCodec;
import io.moorstage.core.message.AgentReport;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.model.Endpoint;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.metrics.ForwardingMetrics;
import io.moorstage.forwarding.peer.BalancerBeacons;
import io.moorstage.forwarding.peer.PeerDirectory;
import io.moorstage.forwarding.peer.PeerMessage;
import io.moorstage.forwarding.peer.PeerSender;
import io.moorstage.forwarding.state.StateKeeper;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Takes what other nodes send to a balancer. */
final class BalancerMessages extends PeerMessageReceiver {
  private final Parts parts;
  private final PeerSender answers;
  private final FlowBalancer balancer;
  private final SegmentCodec segments;
  private final EventLog log;

  /** Who hears of what beacons say. */
  record Parts(
      String zone,
      PeerDirectory balancers,
      BalancerBeacons beacons,
      StateKeeper keeper,
      StateConfirmation confirmation,
      PeerCatchUp catchUp) {}

  /**
   * Creates a receiver.
   *
   * @param answers sends answers to questions for flows; no one else uses it
   */
  BalancerMessages(
      Parts parts,
      PeerSender answers,
      FlowBalancer balancer,
      SegmentCodec segments,
      ForwardingMetrics metrics,
      EventLog log) {
    super(metrics, log);
    this.parts = parts;
    this.answers = answers;
    this.balancer = balancer;
    this.segments = segments;
    this.log = log;
  }

  @Override
  void onMessage(int sender, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.GiveBack giveBack) {
      onGiveBack(sender, giveBack, nowMs);
    } else if (message instanceof PeerMessage.Answer answer) {
      onAnswer(sender, answer, nowMs);
    } else if (message instanceof PeerMessage.Ask ask) {
      onAsk(sender, ask);
    } else if (message instanceof PeerMessage.BalancerBeacon beacon) {
      onBalancerBeacon(sender, beacon, nowMs);
    } else if (message instanceof PeerMessage.AgentBeacon beacon) {
      onAgentBeacon(sender, beacon, nowMs);
    }
  }

  private void onGiveBack(int agent, PeerMessage.GiveBack giveBack, long nowMs) {
    ByteBuffer datagram = giveBack.datagram();
    Segment segment = segments.decodeFromClient(datagram);
    if (segment == null) {
      onMalformed(agent, NO_SEGMENT, nowMs);
      return;
    }
    balancer.onReturned(
        agent, giveBack.reason(), giveBack.configurationVersion(), segment, datagram, nowMs);
  }

  private void onAnswer(int sender, PeerMessage.Answer answer, long nowMs) {
    for (PeerMessage.FlowAnswer known : answer.flows()) {
      balancer.onQueryResult(sender, known.flow(), known.knowledge(), known.targetAddress(), nowMs);
    }
  }

  // A balancer that knows nothing of a flow is silent: the agents decide whether there is one.
  private void onAsk(int sender, PeerMessage.Ask ask) {
    List<PeerMessage.FlowAnswer> known = new ArrayList<>(0);
    for (FlowId flow : ask.flows()) {
      int target = balancer.knownTarget(flow);
      if (target != 0) {
        known.add(new PeerMessage.FlowAnswer(flow, FlowQueryResult.KNOWN_ELSEWHERE, target));
      }
    }
    if (!known.isEmpty()) {
      answers.send(new PeerMessage.Answer(known), sender);
    }
  }

  private void onBalancerBeacon(int peer, PeerMessage.BalancerBeacon beacon, long nowMs) {
    boolean appeared = parts.balancers.heard(peer, beacon.zone(), beacon.revision(), nowMs);
    parts.balancers.addAdvertised(beacon.balancers(), nowMs);
    parts.confirmation.onBeacon(peer, beacon, nowMs);
    parts.catchUp.onAdvertised(peer, beacon.zone(), beacon.revision(), nowMs);
    if (appeared) {
      log.event("balancer-heard", "peer", Endpoint.of(peer, 0).host());
      parts.beacons.sendTo(peer, parts.keeper.state(), nowMs);
    }
  }

  private void onAgentBeacon(int agent, PeerMessage.AgentBeacon beacon, long nowMs) {
    boolean appeared = balancer.onAgentReport(newsOf(agent, beacon), nowMs);
    boolean isNear = beacon.zone().equals(parts.zone);
    boolean looksForBalancers = beacon.balancers().length == 0;
    if (appeared && (isNear || looksForBalancers)) {
      parts.beacons.sendTo(agent, parts.keeper.state(), nowMs);
    }
    parts.balancers.addAdvertised(beacon.balancers(), nowMs);
    parts.catchUp.onAdvertised(agent, beacon.zone(), beacon.revision(), nowMs);
  }

  private static AgentReport newsOf(int agent, PeerMessage.AgentBeacon beacon) {
    return new AgentReport(
        agent,
        beacon.service(),
        beacon.zone(),
        beacon.busyFlows(),
        beacon.stopping(),
        beacon.targetEjected(),
        beacon.targetEnded());
  }
}
