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

/** Handles the messages that other nodes send to a balancer. */
final class BalancerMessageHandler extends PeerMessageReceiver {
  private final Collaborators collaborators;
  private final PeerSender responseSender;
  private final FlowBalancer balancer;
  private final SegmentCodec segments;
  private final EventLog log;

  /** The components that process the contents of beacons, and the zone of this balancer. */
  record Collaborators(
      String zone,
      PeerDirectory balancers,
      BalancerBeacons beacons,
      StateKeeper keeper,
      StateConfirmation confirmation,
      PeerCatchUp catchUp) {}

  /**
   * Creates a handler.
   *
   * @param responseSender sends the responses to flow queries; not shared, since it is not
   *     thread-safe
   */
  BalancerMessageHandler(
      Collaborators collaborators,
      PeerSender responseSender,
      FlowBalancer balancer,
      SegmentCodec segments,
      ForwardingMetrics metrics,
      EventLog log) {
    super(metrics, log);
    this.collaborators = collaborators;
    this.responseSender = responseSender;
    this.balancer = balancer;
    this.segments = segments;
    this.log = log;
  }

  @Override
  void onMessage(int sender, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.GiveBack giveBack) {
      onGiveBack(sender, giveBack, nowMs);
    } else if (message instanceof PeerMessage.FlowQueryResponse response) {
      onQueryResponse(sender, response, nowMs);
    } else if (message instanceof PeerMessage.FlowQuery query) {
      onQuery(sender, query);
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
    balancer.onGivenBack(
        agent, giveBack.reason(), giveBack.configurationVersion(), segment, datagram, nowMs);
  }

  private void onQueryResponse(int sender, PeerMessage.FlowQueryResponse response, long nowMs) {
    for (PeerMessage.FlowResult result : response.results()) {
      balancer.onQueryResult(sender, result.flow(), result.result(), result.targetAddress(), nowMs);
    }
  }

  // A balancer without a known target for any of the flows sends no response: only the responses of
  // agents decide whether a flow exists.
  private void onQuery(int sender, PeerMessage.FlowQuery query) {
    List<PeerMessage.FlowResult> results = new ArrayList<>(0);
    for (FlowId flow : query.flows()) {
      int target = balancer.knownTarget(flow);
      if (target != 0) {
        results.add(new PeerMessage.FlowResult(flow, FlowQueryResult.KNOWN_ELSEWHERE, target));
      }
    }
    if (!results.isEmpty()) {
      responseSender.send(new PeerMessage.FlowQueryResponse(results), sender);
    }
  }

  private void onBalancerBeacon(int peer, PeerMessage.BalancerBeacon beacon, long nowMs) {
    boolean appeared =
        collaborators.balancers.recordBeacon(peer, beacon.zone(), beacon.revision(), nowMs);
    collaborators.balancers.addAdvertised(beacon.balancers(), nowMs);
    collaborators.confirmation.onBeacon(peer, beacon, nowMs);
    collaborators.catchUp.onAdvertised(peer, beacon.zone(), beacon.revision(), nowMs);
    if (appeared) {
      log.event("balancer-heard", "peer", Endpoint.of(peer, 0).host());
      collaborators.beacons.sendTo(peer, collaborators.keeper.state(), nowMs);
    }
  }

  private void onAgentBeacon(int agent, PeerMessage.AgentBeacon beacon, long nowMs) {
    boolean appeared = balancer.onAgentReport(toReport(agent, beacon), nowMs);
    boolean isSameZone = beacon.zone().equals(collaborators.zone);
    boolean listsNoBalancer = beacon.balancers().length == 0;
    if (appeared && (isSameZone || listsNoBalancer)) {
      collaborators.beacons.sendTo(agent, collaborators.keeper.state(), nowMs);
    }
    collaborators.balancers.addAdvertised(beacon.balancers(), nowMs);
    collaborators.catchUp.onAdvertised(agent, beacon.zone(), beacon.revision(), nowMs);
  }

  private static AgentReport toReport(int agent, PeerMessage.AgentBeacon beacon) {
    return new AgentReport(
        agent,
        beacon.service(),
        beacon.zone(),
        beacon.busyFlows(),
        beacon.stopping(),
        beacon.targetEjected(),
        beacon.targetEnded(),
        beacon.capacityReport());
  }
}
