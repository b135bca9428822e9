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

/** Handles the messages that other nodes send to an agent. */
final class AgentMessageHandler extends PeerMessageReceiver {
  private final Collaborators collaborators;
  private final PeerSender responseSender;
  private final FlowAgent agent;
  private final SegmentCodec segments;
  private final EventLog log;
  private volatile boolean fleetDiscovered;

  /**
   * The components that process the contents of messages.
   *
   * @param ownAddress the IPv4 address of this machine
   */
  record Collaborators(
      int ownAddress, PeerDirectory balancers, AgentBeacons beacons, AgentStateCopy copy) {}

  /**
   * Creates a handler.
   *
   * @param responseSender sends the responses to flow queries; not shared, since it is not
   *     thread-safe
   */
  AgentMessageHandler(
      Collaborators collaborators,
      PeerSender responseSender,
      FlowAgent agent,
      SegmentCodec segments,
      ForwardingMetrics metrics,
      EventLog log) {
    super(metrics, log);
    this.collaborators = collaborators;
    this.responseSender = responseSender;
    this.agent = agent;
    this.segments = segments;
    this.log = log;
  }

  /**
   * Returns whether this agent has a copy of the state, or has discovered a node that may have it:
   * a balancer with a state, or an agent that lists live balancers in its beacon.
   */
  boolean isFleetDiscovered() {
    return fleetDiscovered || collaborators.copy.revision() > 0;
  }

  @Override
  void onMessage(int sender, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.Forward forward) {
      onForward(sender, forward, nowMs);
    } else if (message instanceof PeerMessage.FlowQuery query) {
      onQuery(sender, query, nowMs);
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
    collaborators.balancers.recordForward(balancer, nowMs);
    agent.onForwarded(balancer, forward.terms(), segment, forward.datagram(), nowMs);
  }

  private void onQuery(int balancer, PeerMessage.FlowQuery query, long nowMs) {
    List<PeerMessage.FlowResult> results = new ArrayList<>(query.flows().size());
    for (FlowId flow : query.flows()) {
      FlowQueryResult result = agent.onQuery(flow, nowMs);
      results.add(new PeerMessage.FlowResult(flow, result, collaborators.ownAddress));
    }
    responseSender.send(new PeerMessage.FlowQueryResponse(results), balancer);
  }

  // The other agent has this agent among its seeds. It lists no balancers while it is still
  // discovering them.
  private void onAgentBeacon(int peer, PeerMessage.AgentBeacon beacon, long nowMs) {
    boolean listsNoBalancer = beacon.balancers().length == 0;
    fleetDiscovered |= !listsNoBalancer;
    collaborators.balancers.addAdvertised(beacon.balancers(), nowMs);
    if (listsNoBalancer && collaborators.balancers.liveCount(nowMs) > 0) {
      collaborators.beacons.sendTo(peer, nowMs);
    }
  }

  private void onBalancerBeacon(int balancer, PeerMessage.BalancerBeacon beacon, long nowMs) {
    fleetDiscovered |= beacon.revision() > 0;
    boolean appeared =
        collaborators.balancers.recordBeacon(balancer, beacon.zone(), beacon.revision(), nowMs);
    collaborators.balancers.addAdvertised(beacon.balancers(), nowMs);
    TargetReport target = beacon.target();
    if (target != null && agent.onTargetReport(target, nowMs)) {
      logTargetReport(target, balancer);
    }
    collaborators.beacons.setMinReportInterval(balancer, beacon.reportIntervalMs());
    if (appeared) {
      log.event("balancer-heard", "peer", Endpoint.of(balancer, 0).host());
      collaborators.beacons.sendTo(balancer, nowMs);
    }
    collaborators.copy.onBeacon(balancer, beacon, nowMs);
  }

  private void logTargetReport(TargetReport target, int balancer) {
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
