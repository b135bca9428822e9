package io.moorstage.forwarding.daemon;

import io.moorstage.core.agent.FlowAgent;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.flow.SegmentCodec;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.model.Endpoint;
import io.moorstage.core.state.Revision;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.metrics.ForwardingMetrics;
import io.moorstage.forwarding.peer.PeerDirectory;
import io.moorstage.forwarding.peer.PeerMessage;
import io.moorstage.forwarding.peer.PeerSender;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Takes what other nodes send to an agent. */
final class AgentMessages extends PeerMessageReceiver {
  private final Parts parts;
  private final PeerSender answers;
  private final FlowAgent agent;
  private final SegmentCodec segments;
  private final EventLog log;
  private volatile boolean fleetHeard;

  /** Who hears of what beacons say; {@code ownAddress} is that of this machine. */
  record Parts(
      int ownAddress, PeerDirectory balancers, AgentBeacons beacons, AgentStateCopy copy) {}

  /**
   * Creates a receiver.
   *
   * @param answers sends answers to questions for flows; no one else uses it
   */
  AgentMessages(
      Parts parts,
      PeerSender answers,
      FlowAgent agent,
      SegmentCodec segments,
      ForwardingMetrics metrics,
      EventLog log) {
    super(metrics, log);
    this.parts = parts;
    this.answers = answers;
    this.agent = agent;
    this.segments = segments;
    this.log = log;
  }

  /** Returns whether the state, or a node that may have it, is known by now. */
  boolean isFleetHeard() {
    return fleetHeard || parts.copy.revision() > 0;
  }

  @Override
  void onMessage(int sender, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.Forward forward) {
      onForward(sender, forward, nowMs);
    } else if (message instanceof PeerMessage.Ask ask) {
      onAsk(sender, ask, nowMs);
    } else if (message instanceof PeerMessage.BalancerBeacon beacon) {
      onBalancerBeacon(sender, beacon, nowMs);
    } else if (message instanceof PeerMessage.AgentBeacon beacon) {
      onAgentBeacon(sender, beacon, nowMs);
    }
  }

  private void onForward(int balancer, PeerMessage.Forward forward, long nowMs) {
    Segment segment = segments.decodeFromClient(forward.datagram());
    if (segment == null) {
      onMalformed(balancer, NO_SEGMENT, nowMs);
      return;
    }
    parts.balancers.used(balancer, nowMs);
    agent.onForwarded(balancer, forward.terms(), segment, forward.datagram(), nowMs);
  }

  private void onAsk(int balancer, PeerMessage.Ask ask, long nowMs) {
    List<PeerMessage.FlowAnswer> known = new ArrayList<>(ask.flows().size());
    for (FlowId flow : ask.flows()) {
      FlowQueryResult knowledge = agent.onQuery(flow, nowMs);
      known.add(new PeerMessage.FlowAnswer(flow, knowledge, parts.ownAddress));
    }
    answers.send(new PeerMessage.Answer(known), balancer);
  }

  // Another agent has this one among its seeds, and looks for balancers.
  private void onAgentBeacon(int peer, PeerMessage.AgentBeacon beacon, long nowMs) {
    boolean looksForBalancers = beacon.balancers().length == 0;
    fleetHeard |= !looksForBalancers;
    parts.balancers.addAdvertised(beacon.balancers(), nowMs);
    if (looksForBalancers && parts.balancers.liveCount(nowMs) > 0) {
      parts.beacons.sendTo(peer, nowMs);
    }
  }

  private void onBalancerBeacon(int balancer, PeerMessage.BalancerBeacon beacon, long nowMs) {
    fleetHeard |= beacon.revision() > 0;
    boolean appeared = parts.balancers.heard(balancer, beacon.zone(), beacon.revision(), nowMs);
    parts.balancers.addAdvertised(beacon.balancers(), nowMs);
    TargetReport target = beacon.target();
    if (target != null && agent.onTargetReport(target, nowMs)) {
      logTarget(target, balancer);
    }
    parts.beacons.onReportInterval(balancer, beacon.reportIntervalMs());
    if (appeared) {
      log.event("balancer-heard", "peer", Endpoint.of(balancer, 0).host());
      parts.beacons.sendTo(balancer, nowMs);
    }
    parts.copy.onBeacon(balancer, beacon, nowMs);
  }

  private void logTarget(TargetReport target, int balancer) {
    log.event(
        "target-phase",
        "phase",
        target.phase().name().toLowerCase(Locale.ROOT),
        "zone-evacuated",
        target.evacuated(),
        "revision",
        Revision.text(target.revision()),
        "told-by",
        Endpoint.of(balancer, 0).host());
  }
}
