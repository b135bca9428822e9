package io.moorstage.forwarding.daemon;

import io.moorstage.core.agent.FlowAgent;
import io.moorstage.forwarding.net.TickTimer;
import io.moorstage.forwarding.peer.BalancerBeacons;
import io.moorstage.forwarding.peer.LoadReports;
import io.moorstage.forwarding.peer.PeerDirectory;
import io.moorstage.forwarding.peer.PeerMessage;
import io.moorstage.forwarding.peer.PeerSender;
import io.moorstage.forwarding.settings.ForwardingSettings;

/**
 * An agent's beacons: its load, its target's condition, and the balancers it hears. Thread-safe.
 * Whom do they go to?
 *
 * <p>Inputs: the balancers that are known, their zones, and which of them have forwarded a segment
 * within 2 s. Rule: to the close balancers when {@link LoadReports} says so, and once a period to
 * {@link #OTHERS} other, or to {@link #OTHERS_WHILE_LOOKING} while the agent starts or hears no
 * balancer. Reason: an agent at the largest size sends 5 messages a second instead of 340 to 1,700
 * (docs/PLATFORM.md), and is still heard from by whoever uses it.
 */
final class AgentBeacons {
  /**
   * The period while an agent starts, in milliseconds: nodes that start together find each other
   * sooner. Not measured; chosen so that a balancer that waits 120 ms for a peer's state hears of
   * one.
   */
  private static final int FIRST_PERIOD_MS = 100;

  /** For how long an agent starts: balancers are up half a second after it (docs/PLATFORM.md). */
  private static final int FIRST_FOR_MS = 1_500;

  /**
   * Balancers of other zones that get a beacon each time. Not measured; chosen so that what an
   * agent sends does not grow with the fleet.
   */
  private static final int OTHERS = 1;

  /** The same while this node looks for its own balancers. */
  private static final int OTHERS_WHILE_LOOKING = 4;

  private final ForwardingSettings settings;
  private final FlowAgent agent;
  private final PeerDirectory balancers;
  private final AgentStateCopy copy;
  private final PeerSender sender;
  private final LoadReports reports = new LoadReports();
  private final TickTimer othersTimer = new TickTimer();
  private volatile boolean stopping;

  /**
   * Creates beacons.
   *
   * @param sender sends them; no one else uses it
   */
  AgentBeacons(
      ForwardingSettings settings,
      FlowAgent agent,
      PeerDirectory balancers,
      AgentStateCopy copy,
      PeerSender sender) {
    this.settings = settings;
    this.agent = agent;
    this.balancers = balancers;
    this.copy = copy;
    this.sender = sender;
  }

  /** Sends the first beacons. */
  void sendFirst(long nowMs) {
    sendDue(BalancerBeacons.PERIOD_MS, OTHERS_WHILE_LOOKING, nowMs);
  }

  /**
   * Sends the beacons that are due; called with each tick.
   *
   * @param runningForMs how long the agent has run
   */
  void sendRegular(long runningForMs, long nowMs) {
    boolean starting = runningForMs < FIRST_FOR_MS;
    int periodMs = starting ? FIRST_PERIOD_MS : BalancerBeacons.PERIOD_MS;
    boolean looking = starting || balancers.liveCount(nowMs) == 0;
    sendDue(periodMs, looking ? OTHERS_WHILE_LOOKING : OTHERS, nowMs);
  }

  private synchronized void sendDue(int periodMs, int others, long nowMs) {
    int busyFlows = agent.busyFlows();
    PeerMessage beacon = null;
    for (int balancer : balancers.close(nowMs)) {
      if (reports.takeIfDue(balancer, busyFlows, periodMs, nowMs)) {
        beacon = beacon == null ? beaconNow(nowMs) : beacon;
        sender.sendBeacon(beacon, balancer);
      }
    }
    if (othersTimer.restartIfDue(periodMs, nowMs)) {
      for (int balancer : balancers.others(others, nowMs)) {
        sender.sendBeacon(beaconNow(nowMs), balancer);
      }
    }
  }

  /** Sends a beacon to one node. */
  synchronized void sendTo(int address, long nowMs) {
    sender.sendBeacon(beaconNow(nowMs), address);
  }

  /** Marks all beacons from now on as those of an agent that is about to end. */
  void markStopping() {
    stopping = true;
  }

  boolean isStopping() {
    return stopping;
  }

  /** Sends the last beacons, which say that the agent is about to end. */
  void sendLast(long nowMs) {
    PeerMessage last = beaconNow(nowMs);
    for (int balancer : balancers.close(nowMs)) {
      send(last, balancer);
    }
  }

  private synchronized void send(PeerMessage beacon, int address) {
    sender.sendBeacon(beacon, address);
  }

  /** A balancer wants a report at most once in an interval, in milliseconds. */
  synchronized void onReportInterval(int balancer, int intervalMs) {
    reports.wanted(balancer, intervalMs);
  }

  /** Forgets balancers of long ago. */
  synchronized void sweep(long nowMs) {
    reports.sweep(nowMs);
  }

  private PeerMessage beaconNow(long nowMs) {
    return new PeerMessage.AgentBeacon(
        settings.service(),
        settings.zone(),
        copy.revision(),
        agent.busyFlows(),
        stopping,
        agent.isTargetEjected(),
        agent.hasTargetEnded(),
        balancers.live(settings.zone(), BalancerBeacons.LISTED, nowMs));
  }
}
