package io.moorstage.forwarding.daemon;

import io.moorstage.core.agent.FlowAgent;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.flow.SegmentCodec;
import io.moorstage.core.model.Endpoint;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.state.Revision;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.metrics.ForwardingCounter;
import io.moorstage.forwarding.metrics.ForwardingGauge;
import io.moorstage.forwarding.metrics.ForwardingMetrics;
import io.moorstage.forwarding.net.AddressCache;
import io.moorstage.forwarding.net.HttpEndpoint;
import io.moorstage.forwarding.net.MonotonicClock;
import io.moorstage.forwarding.net.TargetCheck;
import io.moorstage.forwarding.net.TickTimer;
import io.moorstage.forwarding.net.UdpPort;
import io.moorstage.forwarding.peer.PeerDirectory;
import io.moorstage.forwarding.peer.PeerSender;
import io.moorstage.forwarding.settings.ForwardingSettings;
import io.moorstage.forwarding.source.FirstStateReader;
import io.moorstage.forwarding.state.StateSource;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/**
 * Runs on the machine of a target: delivers the segments of its flows to it and sends its responses
 * to clients.
 */
public final class AgentDaemon implements ForwardingDaemon {

  /**
   * How long after the data path the HTTP servers start, in milliseconds. They are delayed because
   * their start takes as much processor time as the rest of the startup.
   */
  private static final int ENDPOINT_DELAY_MS = 250;

  private final ForwardingSettings settings;
  private final SegmentCodec segments;
  private final EventLog log;
  private final ForwardingMetrics metrics;
  private final UdpPort peerPort;
  private final UdpPort targetPort;
  private final TargetCheck targetCheck;
  private final FlowAgent agent;
  private final PeerDirectory balancers;
  private final AgentStateCopy copy;
  private final AgentBeacons beacons;
  private final AgentMessageHandler messageHandler;
  private final FirstStateReader firstReader;
  private final DaemonEndpoints endpoints;
  private volatile boolean stopped;

  /** Creates a daemon. No port is bound before {@link #start()}. */
  public AgentDaemon(
      ForwardingSettings settings, SegmentCodec segments, StateSource source, EventLog log) {
    this.settings = settings;
    this.segments = segments;
    this.log = log;
    metrics = new ForwardingMetrics(log);
    peerPort = new UdpPort(Endpoint.of(settings.address(), settings.peerPort()), log);
    targetPort = new UdpPort(settings.egress(), log);
    AddressCache peerAddresses = new AddressCache(settings.peerPort());
    InetSocketAddress target =
        UdpPort.socketAddress(settings.target().ipv4(), settings.target().port());
    targetCheck = new TargetCheck(target, this::onTargetCheck);
    agent = createAgent(target, peerAddresses);
    balancers = new PeerDirectory(settings.address(), settings.zone());
    copy = new AgentStateCopy(settings, metrics, log);
    PeerSender beaconSender = new PeerSender(peerPort, peerAddresses, metrics);
    beacons = new AgentBeacons(settings, agent, balancers, copy, beaconSender);
    messageHandler = createMessageHandler(peerAddresses);
    firstReader = new FirstStateReader(source, messageHandler::isFleetDiscovered, copy, log);
    endpoints = new DaemonEndpoints(settings, this::readiness, copy, metrics, log);
    registerGauges(source);
  }

  private FlowAgent createAgent(InetSocketAddress target, AddressCache peerAddresses) {
    PeerSender sender = new PeerSender(peerPort, peerAddresses, metrics);
    ClientSender clients = new ClientSender(targetPort, settings.clientEndpoint().port(), segments);
    AgentOutput output =
        new AgentOutput(targetPort, target, targetCheck, clients, sender, settings.address());
    long nowMs = MonotonicClock.nowMs();
    return new FlowAgent(settings.policy(), settings.service(), output, metrics, nowMs);
  }

  private AgentMessageHandler createMessageHandler(AddressCache peerAddresses) {
    PeerSender responseSender = new PeerSender(peerPort, peerAddresses, metrics);
    AgentMessageHandler.Collaborators collaborators =
        new AgentMessageHandler.Collaborators(settings.address(), balancers, beacons, copy);
    return new AgentMessageHandler(collaborators, responseSender, agent, segments, metrics, log);
  }

  private void registerGauges(StateSource source) {
    metrics.gauge(ForwardingGauge.FLOWS, agent::flowCount);
    metrics.gauge(ForwardingGauge.REQUESTS, agent::busyFlows);
    metrics.gauge(ForwardingGauge.WAITING_OPENINGS, agent::waitingOpenings);
    metrics.gauge(ForwardingGauge.WAITING_REQUESTS, agent::waitingRequests);
    metrics.gauge(ForwardingGauge.ADMITTED_RANK, () -> agent.capacityReport().admittedRank());
    metrics.gauge(
        ForwardingGauge.SERVICE_TIME_US, () -> 100L * agent.capacityReport().serviceTimeTenthsMs());
    metrics.gauge(ForwardingGauge.BALANCERS, () -> balancers.liveCount(MonotonicClock.nowMs()));
    metrics.gauge(ForwardingGauge.STATE_REVISION, () -> Revision.count(copy.revision()));
    metrics.gauge(ForwardingGauge.STATE_ERA, () -> Revision.era(copy.revision()));
    metrics.gauge(ForwardingGauge.UNUSABLE_ITEMS, source::unusableItems);
    metrics.gauge(ForwardingGauge.ANSWERS_WITHOUT_ERA, source::responsesWithoutEra);
    metrics.gauge(ForwardingGauge.LINES_LEFT_OUT, log::droppedLines);
  }

  @Override
  public void start() throws IOException {
    targetPort.bind();
    peerPort.bind();
    targetPort.start("target-segments", this::onTargetDatagram);
    peerPort.start("peer-messages", messageHandler);
    reload(settings);
    beacons.sendFirst(MonotonicClock.nowMs());
    copy.start();
    if (settings.policy().uses(Mechanism.PEER_STATE_FIRST)) {
      firstReader.start();
    }
    targetCheck.start();
  }

  @Override
  public void reload(ForwardingSettings newSettings) {
    balancers.addSeeds(newSettings.seeds(), MonotonicClock.nowMs());
  }

  @Override
  public void run() throws InterruptedException, IOException {
    TickTimer sweepTimer = new TickTimer();
    boolean serving = false;
    long startedAtMs = MonotonicClock.nowMs();
    while (!stopped) {
      Thread.sleep(MainLoop.TICK_MS);
      long nowMs = MonotonicClock.nowMs();
      agent.onTick(nowMs);
      // The HTTP servers start late so that they do not take processor time from the data path.
      if (!serving && nowMs - startedAtMs > ENDPOINT_DELAY_MS) {
        serving = true;
        endpoints.start();
      }
      beacons.sendRegular(nowMs - startedAtMs, nowMs);
      if (sweepTimer.restartIfDue(MainLoop.SWEEP_MS, nowMs)) {
        agent.onSweep(nowMs);
        beacons.sweep(nowMs);
      }
    }
    log.event("stopped", "flows", agent.flowCount());
  }

  // The agent does not drain: clients reach the target only through this process, so an immediate
  // end shortens the time until a restarted agent is available.
  @Override
  public void stop() {
    beacons.markStopping();
    // When a machine is shut down, its target stops before the agent. The check detects this, so
    // the last beacons report the end of the target and no node waits for target or agent.
    targetCheck.runTwice();
    beacons.sendLast(MonotonicClock.nowMs());
    log.event("stopping", "flows", agent.flowCount());
    // The main loop ends the process when it reads this flag, so the last beacons are sent first.
    stopped = true;
  }

  private byte[] readiness(String query) {
    return beacons.isStopping() ? null : HttpEndpoint.EMPTY_BODY;
  }

  private void onTargetCheck(boolean refused) {
    metrics.count(ForwardingCounter.TARGET_CHECKS);
    boolean endedBefore = agent.hasTargetEnded();
    agent.onTargetCheck(refused, MonotonicClock.nowMs());
    if (agent.hasTargetEnded() != endedBefore) {
      log.event(endedBefore ? "target-runs" : "target-ended", "refused", refused);
    }
  }

  private void onTargetDatagram(int sourceAddress, ByteBuffer datagram) {
    metrics.count(ForwardingCounter.TARGET_DATAGRAMS);
    Segment segment = segments.decodeFromTarget(datagram);
    if (segment == null) {
      metrics.count(ForwardingCounter.BAD_TARGET_DATAGRAMS);
      return;
    }
    if (segment.returned()) {
      segments.clearReturned(datagram);
    }
    agent.onTargetSegment(segment, datagram, MonotonicClock.nowMs());
  }
}
