package io.moorstage.forwarding.daemon;

import io.moorstage.core.agent.FlowAgent;
import io.moorstage.forwarding.net.TickTimer;
import io.moorstage.forwarding.peer.BalancerBeacons;
import io.moorstage.forwarding.peer.LoadReportSchedule;
import io.moorstage.forwarding.peer.PeerDirectory;
import io.moorstage.forwarding.peer.PeerMessage;
import io.moorstage.forwarding.peer.PeerSender;
import io.moorstage.forwarding.settings.ForwardingSettings;

/**
 * Sends an agent's beacons, which report its load, the condition of its target and the live
 * balancers of its directory, and selects their receivers. Thread-safe.
 *
 * <p>Inputs: the known balancers, their zones, and which of them have forwarded a segment within 2
 * s.
 *
 * <p>The close balancers ({@link PeerDirectory#closePeers}) get a beacon when {@link
 * LoadReportSchedule} finds one due. In addition, {@link #OTHER_BALANCERS} other balancers get one
 * in each period, or {@link #OTHER_BALANCERS_IN_DISCOVERY} while the agent starts or has no live
 * balancer in its directory.
 *
 * <p>In the largest fleet an agent therefore sends 5 messages a second instead of 340 to 1,700
 * (docs/PLATFORM.md), and every balancer that uses the agent still receives its beacons.
 */
final class AgentBeacons {
  /**
   * The beacon period while an agent starts, in milliseconds. It is short so that nodes that start
   * together discover each other sooner: a starting balancer waits 120 ms for a peer's state and
   * receives a beacon in that time.
   */
  private static final int STARTUP_PERIOD_MS = 100;

  /**
   * How long an agent counts as starting, in milliseconds. Balancers take half a second longer to
   * start than agents (docs/PLATFORM.md).
   */
  private static final int STARTUP_MS = 1_500;

  /**
   * The number of balancers that are not close and get a beacon in each period. It is fixed so that
   * the traffic of an agent does not grow with the fleet.
   */
  private static final int OTHER_BALANCERS = 1;

  /** The same number while this agent discovers the balancers of its zone. */
  private static final int OTHER_BALANCERS_IN_DISCOVERY = 4;

  private final ForwardingSettings settings;
  private final FlowAgent agent;
  private final PeerDirectory balancers;
  private final AgentStateCopy copy;
  private final PeerSender sender;
  private final LoadReportSchedule reportSchedule = new LoadReportSchedule();
  private final TickTimer othersTimer = new TickTimer();
  private volatile boolean stopping;

  /**
   * Creates the beacons of an agent.
   *
   * @param sender sends the beacons; not shared, since it is not thread-safe
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

  /** Sends beacons at the start of the agent, to as many balancers as during discovery. */
  void sendFirst(long nowMs) {
    sendDue(BalancerBeacons.PERIOD_MS, OTHER_BALANCERS_IN_DISCOVERY, nowMs);
  }

  /**
   * Sends the beacons that are due. The main loop calls this at each tick.
   *
   * @param runningForMs the time since the start of the agent, in milliseconds
   */
  void sendRegular(long runningForMs, long nowMs) {
    boolean starting = runningForMs < STARTUP_MS;
    int periodMs = starting ? STARTUP_PERIOD_MS : BalancerBeacons.PERIOD_MS;
    boolean discovering = starting || balancers.liveCount(nowMs) == 0;
    sendDue(periodMs, discovering ? OTHER_BALANCERS_IN_DISCOVERY : OTHER_BALANCERS, nowMs);
  }

  private synchronized void sendDue(int periodMs, int otherCount, long nowMs) {
    int busyFlows = agent.busyFlows();
    PeerMessage beacon = null;
    for (int balancer : balancers.closePeers(nowMs)) {
      if (reportSchedule.markSentIfDue(balancer, busyFlows, periodMs, nowMs)) {
        beacon = beacon == null ? beaconNow(nowMs) : beacon;
        sender.sendBeacon(beacon, balancer);
      }
    }
    if (othersTimer.restartIfDue(periodMs, nowMs)) {
      for (int balancer : balancers.otherPeers(otherCount, nowMs)) {
        sender.sendBeacon(beaconNow(nowMs), balancer);
      }
    }
  }

  /** Sends a beacon to one node. */
  synchronized void sendTo(int address, long nowMs) {
    sender.sendBeacon(beaconNow(nowMs), address);
  }

  /** Marks the agent as stopping in all further beacons. */
  void markStopping() {
    stopping = true;
  }

  boolean isStopping() {
    return stopping;
  }

  /** Sends a last beacon to each close balancer; it reports that the agent is stopping. */
  void sendLast(long nowMs) {
    PeerMessage beacon = beaconNow(nowMs);
    for (int balancer : balancers.closePeers(nowMs)) {
      send(beacon, balancer);
    }
  }

  private synchronized void send(PeerMessage beacon, int address) {
    sender.sendBeacon(beacon, address);
  }

  /** Sets the shortest interval at which a balancer accepts load reports, in milliseconds. */
  synchronized void setMinReportInterval(int balancer, int intervalMs) {
    reportSchedule.setMinInterval(balancer, intervalMs);
  }

  /** Evicts balancers that have not been sent a load report for long. */
  synchronized void sweep(long nowMs) {
    reportSchedule.sweep(nowMs);
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
        agent.capacityReport(),
        balancers.livePeers(settings.zone(), BalancerBeacons.MAX_LISTED_BALANCERS, nowMs));
  }
}
