package io.moorstage.forwarding.peer;

import io.moorstage.core.message.TargetReport;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.LongToIntFunction;

/**
 * A balancer's beacons: which revision it knows, what the source says of an agent's target, and
 * which balancers it hears. Thread-safe. Whom do they go to?
 *
 * <p>Inputs: the agents and balancers that are known, and their zones. Rule: regular ones to the
 * agents of the own zone, at most {@link #MAX_AGENTS_OF_ZONE} a round and then the next ones, to
 * the close balancers ({@link PeerDirectory#close}), and to {@link #OTHERS} agents and balancers
 * elsewhere; a change at once to the agents of the own zone that it concerns and to the balancers
 * that are known to lack it. In a fleet of at most {@link #FEW_AGENTS} agents all count as of the
 * own zone. So an agent hears of its target from each balancer of its zone, and from some elsewhere
 * should there be none.
 *
 * <p>Reason: in a full mesh the control traffic was most of the bytes between zones; with few
 * receivers these fell from 0.206 to 0.043 GB a day (docs/MEASURED-POLICY.md), and at the largest
 * size a balancer sends 155 messages a second instead of 13,198 (docs/PLATFORM.md).
 */
public final class BalancerBeacons {
  /**
   * Time between regular beacons of balancers and agents, in milliseconds. The messages a second
   * that follow from it are worked out in docs/PLATFORM.md.
   */
  public static final int PERIOD_MS = 500;

  /**
   * How late a beacon may come, in milliseconds. Not measured; chosen so that a node that works off
   * a queue of requests does not count as silent.
   */
  public static final int LATE_MS = 300;

  /**
   * Time without a beacon after which a balancer, or all agents together, count as silent, in
   * milliseconds: the last two are lost. A single agent is given one more ({@code agentTimeoutMs}
   * of the policy), since its silence decides about open flows.
   */
  public static final int SILENT_AFTER_MS = 2 * PERIOD_MS + LATE_MS;

  /**
   * Agents of a small fleet get every beacon. Not measured; chosen so that the smallest deployments
   * are a full mesh.
   */
  static final int FEW_AGENTS = 16;

  /**
   * Bounds the agents of the own zone that get one beacon; the next one goes on with the others.
   * Not measured; chosen so that a beacon's round costs at most 128 datagrams a second.
   */
  static final int MAX_AGENTS_OF_ZONE = 64;

  /**
   * Agents of other zones, and balancers of other zones, that get one beacon. Not measured; chosen
   * so that the loss of one or two of them leaves some.
   */
  static final int OTHERS = 4;

  /**
   * Addresses of balancers that a beacon of a balancer or an agent names. Not measured; chosen so
   * that a node that has just started finds its zone, which has six at the target size.
   */
  public static final int LISTED = 8;

  /** Reports that a balancer takes in a second: 100 of some 65 bytes keep below 9 KB a second. */
  private static final int REPORTS_PER_S = 100;

  private static final int MS_PER_S = 1_000;

  private final String zone;
  private final PeerDirectory balancers;
  private final PeerSender sender;
  private final LongToIntFunction confirmedAgeMs;
  private final LongToIntFunction heardAgents;
  private ListedAgents agents = ListedAgents.NONE;
  private int nextOfZone;
  private int nextElsewhere;

  /**
   * Creates beacons.
   *
   * @param sender sends them; no one else uses it
   * @param confirmedAgeMs from the time of a beacon, how long ago the source confirmed the state;
   *     negative if this node does not read it
   * @param heardAgents from the time of a beacon, how many agents send beacons to this node
   */
  public BalancerBeacons(
      String zone,
      PeerDirectory balancers,
      PeerSender sender,
      LongToIntFunction confirmedAgeMs,
      LongToIntFunction heardAgents) {
    this.zone = zone;
    this.balancers = balancers;
    this.sender = sender;
    this.confirmedAgeMs = confirmedAgeMs;
    this.heardAgents = heardAgents;
  }

  /** Sends a beacon to agents and balancers, most of them of the own zone. */
  public synchronized void sendRegular(FleetState state, long nowMs) {
    agents = agents.of(state);
    int reportIntervalMs = reportIntervalMs(nowMs);
    for (int agent : agentsInTurn()) {
      send(agent, state, reportIntervalMs, nowMs);
    }
    for (int peer : balancers.close(nowMs)) {
      if (agents.targetAt(peer) == null) {
        send(peer, state, reportIntervalMs, nowMs);
      }
    }
    for (int peer : balancers.others(OTHERS, nowMs)) {
      send(peer, state, reportIntervalMs, nowMs);
    }
  }

  private List<Integer> agentsInTurn() {
    List<Integer> ofZone = new ArrayList<>();
    List<Integer> elsewhere = new ArrayList<>();
    boolean few = agents.count() <= FEW_AGENTS;
    for (TargetRecord target : agents.targets()) {
      boolean isClose = few || target.zone().equals(zone);
      (isClose ? ofZone : elsewhere).add(target.address());
    }
    List<Integer> chosen = new ArrayList<>();
    nextOfZone = takeInTurn(ofZone, nextOfZone, MAX_AGENTS_OF_ZONE, chosen);
    nextElsewhere = takeInTurn(elsewhere, nextElsewhere, OTHERS, chosen);
    return chosen;
  }

  /** Takes some elements from an index on, over the end if need be; returns the next index. */
  private static int takeInTurn(List<Integer> from, int index, int count, List<Integer> chosen) {
    int taken = Math.min(count, from.size());
    for (int i = 0; i < taken; i++) {
      chosen.add(from.get((index + i) % from.size()));
    }
    return taken == 0 ? 0 : (index + taken) % from.size();
  }

  /**
   * Reports what has changed: to agents of the own zone what the source says of their targets and
   * of the zone, and to balancers that there is a newer state. A balancer that the source refuses
   * thus learns of a configuration before agents, which go by the newest they have seen, give back
   * what it forwards.
   */
  public synchronized void sendChanges(
      FleetState state, Collection<TargetRecord> changed, long nowMs) {
    int reportIntervalMs = reportIntervalMs(nowMs);
    agents = agents.of(state);
    boolean few = agents.count() <= FEW_AGENTS;
    for (TargetRecord target : changed) {
      if (few || target.zone().equals(zone)) {
        send(target.address(), state, reportIntervalMs, nowMs);
      }
    }
    for (int peer : balancers.behind(state.revision(), nowMs)) {
      send(peer, state, reportIntervalMs, nowMs);
    }
  }

  /** Sends a beacon to one node. */
  public synchronized void sendTo(int peer, FleetState state, long nowMs) {
    send(peer, state, reportIntervalMs(nowMs), nowMs);
  }

  // Each of the agents sends a report at most once in this time.
  private int reportIntervalMs(long nowMs) {
    return heardAgents.applyAsInt(nowMs) * MS_PER_S / REPORTS_PER_S;
  }

  private void send(int address, FleetState state, int reportIntervalMs, long nowMs) {
    agents = agents.of(state);
    TargetRecord target = agents.targetAt(address);
    String receiversZone = target == null ? zone : target.zone();
    sender.sendBeacon(
        new PeerMessage.BalancerBeacon(
            state.revision(),
            zone,
            target == null ? null : newsOf(target, state),
            agents.keepsCopy(address),
            reportIntervalMs,
            confirmedAgeMs.applyAsInt(nowMs),
            balancers.live(receiversZone, LISTED, nowMs)),
        address);
  }

  private TargetReport newsOf(TargetRecord target, FleetState state) {
    return new TargetReport(
        state.revision(),
        target.phase(),
        state.evacuations().isInForce(target.zone()),
        target.capacity(),
        target.startNumber(),
        agents.tookOver(target.address()),
        target.slowStartMs(),
        state.configuration().coldStartOf(target.service()).durationMs());
  }
}
