package io.moorstage.forwarding;

import io.moorstage.core.transparent.FleetState;
import io.moorstage.core.transparent.TargetPhase;
import io.moorstage.core.transparent.TargetRecord;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.Map;
import java.util.function.LongToIntFunction;
import javax.annotation.Nullable;

/**
 * A balancer's beacons: which revision it knows, what the source tells of an agent's target, and
 * which balancers it hears. Thread-safe.
 */
final class BalancerBeacons {
  private final String zone;
  private final PeerDirectory balancers;
  private final AddressCache peers;
  private final ForwardingMetrics metrics;
  private final LongToIntFunction confirmedAgeMs;
  private final ByteBuffer out = ByteBuffer.allocateDirect(PeerMessageCodec.MAX_BYTES);
  @Nullable private UdpPort port;

  /**
   * Creates beacons.
   *
   * @param confirmedAgeMs from the time of a beacon, how long ago the source confirmed the state;
   *     negative if this node does not read it
   */
  BalancerBeacons(
      String zone,
      PeerDirectory balancers,
      AddressCache peers,
      LongToIntFunction confirmedAgeMs,
      ForwardingMetrics metrics) {
    this.zone = zone;
    this.balancers = balancers;
    this.peers = peers;
    this.confirmedAgeMs = confirmedAgeMs;
    this.metrics = metrics;
  }

  /** Names the port to send from; nothing is sent before. */
  synchronized void start(UdpPort peerPort) {
    port = peerPort;
  }

  /**
   * Sends a beacon to the agent of each target, and to each balancer that is known.
   *
   * @return the addresses of the agents
   */
  synchronized Collection<Integer> sendToAll(FleetState state, long nowMs) {
    int[] live = balancers.live(nowMs);
    Map<Integer, TargetRecord> agents = state.targetsByAddress();
    for (Map.Entry<Integer, TargetRecord> agent : agents.entrySet()) {
      send(agent.getKey(), state.revision(), agent.getValue(), live, nowMs);
    }
    for (int peer : balancers.known(nowMs)) {
      if (!agents.containsKey(peer)) {
        send(peer, state.revision(), null, live, nowMs);
      }
    }
    return agents.keySet();
  }

  // A balancer that the source refuses learns of the configuration before agents, which go by the
  // newest they have seen, give back what it forwards.
  synchronized void sendToBalancers(FleetState state, long nowMs) {
    int[] live = balancers.live(nowMs);
    for (int peer : live) {
      send(peer, state.revision(), null, live, nowMs);
    }
  }

  /** Sends a beacon to one node. */
  synchronized void sendTo(int peer, FleetState state, long nowMs) {
    TargetRecord target = state.targetsByAddress().get(peer);
    send(peer, state.revision(), target, balancers.live(nowMs), nowMs);
  }

  private void send(
      int address, long revision, @Nullable TargetRecord target, int[] live, long nowMs) {
    if (port == null) {
      return;
    }
    TargetPhase phase = target == null ? null : target.phase();
    int capacity = target == null ? 0 : target.capacity();
    out.clear();
    int ageMs = confirmedAgeMs.applyAsInt(nowMs);
    PeerMessageCodec.encode(
        new PeerMessage.BalancerBeacon(revision, zone, phase, capacity, ageMs, live), out);
    metrics.add(ForwardingCounter.BEACON_BYTES, out.position());
    port.send(out.flip(), peers.get(address));
  }
}
