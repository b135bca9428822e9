package io.moorstage.forwarding.peer;

import io.moorstage.core.message.TargetReport;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.LongToIntFunction;

/**
 * Sends a balancer's beacons and selects their recipients. A beacon carries the revision of the
 * balancer's state, what the source lists for the recipient's target, and addresses of live
 * balancers. Thread-safe.
 *
 * <p>Inputs: the known agents and balancers, and their zones. Rule: a regular beacon goes to agents
 * of the own zone, at most {@link #MAX_OWN_ZONE_AGENTS} at a time in round-robin order, to the
 * close balancers ({@link PeerDirectory#closePeers}), and to {@link #REMOTE_RECIPIENTS} other
 * agents and as many other balancers. A change of the state goes at once to the agents of the own
 * zone that it concerns and to balancers whose last beacon showed an older state. In a fleet of at
 * most {@link #FULL_MESH_MAX_AGENTS} agents, all of them count as agents of the own zone. So an
 * agent receives the record of its target from each balancer of its zone, and from some balancers
 * of other zones in case its own zone has none.
 *
 * <p>Reason: in a full mesh, control traffic was most of the bytes between zones. With few
 * recipients these bytes fell from 0.206 to 0.043 GB a day (docs/MEASURED-POLICY.md), and at the
 * largest size a balancer sends 155 messages a second instead of 13,198 (docs/PLATFORM.md).
 */
public final class BalancerBeacons {
  /**
   * The period of regular beacons of balancers and agents, in milliseconds. docs/PLATFORM.md
   * derives the messages a second from it.
   */
  public static final int PERIOD_MS = 500;

  /**
   * The delay of a beacon that does not count as a loss, in milliseconds. It allows for a node that
   * is busy with a queue of requests.
   */
  public static final int DELAY_TOLERANCE_MS = 300;

  /**
   * The time without a beacon after which a balancer, or all agents together, count as unavailable,
   * in milliseconds: two beacons in a row are lost. A single agent times out one period later
   * ({@code agentTimeoutMs} of the policy), since that decides about open flows.
   */
  public static final int BEACON_TIMEOUT_MS = 2 * PERIOD_MS + DELAY_TOLERANCE_MS;

  /**
   * The largest number of agents that all get each regular beacon, so that the smallest deployments
   * are a full mesh.
   */
  static final int FULL_MESH_MAX_AGENTS = 16;

  /**
   * The largest number of agents of the own zone that get a regular beacon at a time; the next
   * beacon goes to the agents that follow. It limits these beacons to 128 datagrams a second.
   */
  static final int MAX_OWN_ZONE_AGENTS = 64;

  /**
   * The number of agents of other zones, and of other balancers, that get a regular beacon. With
   * four, some still get it if one or two of them are lost.
   */
  static final int REMOTE_RECIPIENTS = 4;

  /**
   * The largest number of balancer addresses in a beacon of a balancer or an agent. A node that has
   * just started can learn its whole zone from it, which has six balancers at the target size.
   */
  public static final int MAX_LISTED_BALANCERS = 8;

  /**
   * The load reports that a balancer requests a second, from all agents together: 100 reports of
   * some 65 bytes are less than 9 KB a second.
   */
  private static final int MAX_REPORTS_PER_S = 100;

  private static final int MS_PER_S = 1_000;

  private final String zone;
  private final PeerDirectory balancers;
  private final PeerSender sender;
  private final LongToIntFunction confirmationAgeMs;
  private final LongToIntFunction activeAgentCount;
  private ListedAgents agents = ListedAgents.NONE;
  private int nextOwnZoneAgent;
  private int nextRemoteAgent;

  /**
   * Creates an instance that has sent no beacon yet.
   *
   * @param sender sends the beacons; must not be shared
   * @param confirmationAgeMs maps the time of a beacon to the age of the source's last confirmation
   *     of the state, in milliseconds; negative if this node does not read the source
   * @param activeAgentCount maps the time of a beacon to the number of agents that send beacons to
   *     this node
   */
  public BalancerBeacons(
      String zone,
      PeerDirectory balancers,
      PeerSender sender,
      LongToIntFunction confirmationAgeMs,
      LongToIntFunction activeAgentCount) {
    this.zone = zone;
    this.balancers = balancers;
    this.sender = sender;
    this.confirmationAgeMs = confirmationAgeMs;
    this.activeAgentCount = activeAgentCount;
  }

  /** Sends a regular beacon to agents and balancers, most of them of the own zone. */
  public synchronized void sendRegular(FleetState state, long nowMs) {
    agents = agents.forState(state);
    int reportIntervalMs = reportIntervalMs(nowMs);
    for (int agent : selectAgents()) {
      send(agent, state, reportIntervalMs, nowMs);
    }
    for (int peer : balancers.closePeers(nowMs)) {
      if (agents.targetAt(peer) == null) {
        send(peer, state, reportIntervalMs, nowMs);
      }
    }
    for (int peer : balancers.otherPeers(REMOTE_RECIPIENTS, nowMs)) {
      send(peer, state, reportIntervalMs, nowMs);
    }
  }

  private List<Integer> selectAgents() {
    List<Integer> ownZoneAgents = new ArrayList<>();
    List<Integer> remoteAgents = new ArrayList<>();
    boolean isFullMesh = agents.count() <= FULL_MESH_MAX_AGENTS;
    for (TargetRecord target : agents.targets()) {
      boolean isNear = isFullMesh || target.zone().equals(zone);
      (isNear ? ownZoneAgents : remoteAgents).add(target.address());
    }
    List<Integer> selected = new ArrayList<>();
    nextOwnZoneAgent =
        selectRoundRobin(ownZoneAgents, nextOwnZoneAgent, MAX_OWN_ZONE_AGENTS, selected);
    nextRemoteAgent = selectRoundRobin(remoteAgents, nextRemoteAgent, REMOTE_RECIPIENTS, selected);
    return selected;
  }

  /**
   * Adds elements to the selection, starting at an index and wrapping around at the end; returns
   * the index to start at the next time.
   */
  private static int selectRoundRobin(
      List<Integer> from, int index, int maxCount, List<Integer> selected) {
    int selectedCount = Math.min(maxCount, from.size());
    for (int i = 0; i < selectedCount; i++) {
      selected.add(from.get((index + i) % from.size()));
    }
    return selectedCount == 0 ? 0 : (index + selectedCount) % from.size();
  }

  /**
   * Announces a newer state: sends agents of the own zone the changed records of their targets and
   * zone, and sends balancers with an older state the new revision. So a balancer that the source
   * refuses gets a new configuration before agents return the segments that it forwards; agents
   * compare a segment with the newest configuration that they have seen.
   *
   * @param changed the targets whose agents are to be notified
   */
  public synchronized void sendChanges(
      FleetState state, Collection<TargetRecord> changed, long nowMs) {
    int reportIntervalMs = reportIntervalMs(nowMs);
    agents = agents.forState(state);
    boolean isFullMesh = agents.count() <= FULL_MESH_MAX_AGENTS;
    for (TargetRecord target : changed) {
      if (isFullMesh || target.zone().equals(zone)) {
        send(target.address(), state, reportIntervalMs, nowMs);
      }
    }
    for (int peer : balancers.peersBehind(state.revision(), nowMs)) {
      send(peer, state, reportIntervalMs, nowMs);
    }
  }

  /** Sends a beacon to one node. */
  public synchronized void sendTo(int peer, FleetState state, long nowMs) {
    send(peer, state, reportIntervalMs(nowMs), nowMs);
  }

  /**
   * Returns the interval of load reports that beacons sent now request of each agent, in
   * milliseconds. All agents together then send at most {@link #MAX_REPORTS_PER_S}.
   */
  public int reportIntervalMs(long nowMs) {
    return activeAgentCount.applyAsInt(nowMs) * MS_PER_S / MAX_REPORTS_PER_S;
  }

  private void send(int address, FleetState state, int reportIntervalMs, long nowMs) {
    agents = agents.forState(state);
    TargetRecord target = agents.targetAt(address);
    String recipientZone = target == null ? zone : target.zone();
    sender.sendBeacon(
        new PeerMessage.BalancerBeacon(
            state.revision(),
            zone,
            target == null ? null : targetReport(target, state),
            agents.keepsCopy(address),
            reportIntervalMs,
            confirmationAgeMs.applyAsInt(nowMs),
            balancers.livePeers(recipientZone, MAX_LISTED_BALANCERS, nowMs)),
        address);
  }

  private TargetReport targetReport(TargetRecord target, FleetState state) {
    return new TargetReport(
        state.revision(),
        target.phase(),
        state.evacuations().isInForce(target.zone()),
        target.capacity(),
        target.startNumber(),
        agents.isPredecessorListedReady(target.address()),
        target.slowStartMs(),
        state.configuration().coldStartOf(target.service()).durationMs());
  }
}
