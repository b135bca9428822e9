package io.moorstage.forwarding.daemon;

import io.moorstage.core.balancer.FlowBalancer;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.flow.SegmentCodec;
import io.moorstage.core.log.Decision;
import io.moorstage.core.model.Endpoint;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.Revision;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.log.StateChangeLog;
import io.moorstage.forwarding.metrics.ForwardingCounter;
import io.moorstage.forwarding.metrics.ForwardingGauge;
import io.moorstage.forwarding.metrics.ForwardingMetrics;
import io.moorstage.forwarding.net.AddressCache;
import io.moorstage.forwarding.net.MonotonicClock;
import io.moorstage.forwarding.net.ProcessorLag;
import io.moorstage.forwarding.net.TickTimer;
import io.moorstage.forwarding.net.UdpPort;
import io.moorstage.forwarding.peer.BalancerBeacons;
import io.moorstage.forwarding.peer.PeerDirectory;
import io.moorstage.forwarding.peer.PeerSender;
import io.moorstage.forwarding.settings.ForwardingSettings;
import io.moorstage.forwarding.source.SourceFollower;
import io.moorstage.forwarding.source.SourceReaders;
import io.moorstage.forwarding.state.PeerStateQuery;
import io.moorstage.forwarding.state.StateKeeper;
import io.moorstage.forwarding.state.StateSource;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import javax.annotation.Nullable;

/** Takes clients' segments and forwards each to the agent beside the flow's target. */
public final class BalancerDaemon implements ForwardingDaemon {
  /**
   * The HTTP servers wait for a state at most so long, in milliseconds, since metrics are read
   * without one too. Not measured; chosen so that a source that answers has been read by then.
   */
  private static final int ENDPOINTS_WITHIN_MS = 3_000;

  /**
   * How long the HTTP servers wait for the processor once there is a state, in milliseconds.
   * Routers send to a node that is not ready only if none is: then requests are worth more than
   * readiness. Not measured by itself (docs/MEASURED-POLICY.md).
   */
  private static final int ENDPOINTS_AFTER_READY_MS = 1_500;

  private final ForwardingSettings settings;
  private final ForwardingPolicy policy;
  private final SegmentCodec segments;
  private final EventLog log;
  private final ForwardingMetrics metrics;
  private final UdpPort clientPort;
  private final UdpPort peerPort;
  private final PeerDirectory balancers;
  private final StateKeeper keeper;
  private final SourceFollower follower;
  private final PeerCatchUp catchUp;
  private final FlowBalancer balancer;
  private final StateConfirmation confirmation;
  private final BalancerBeacons beacons;
  private final BalancerMessages messages;
  private final StateChangeLog changes;
  private final ProcessorLag processorLag = new ProcessorLag();
  private final BalancerDrain drain = new BalancerDrain();
  private final BalancerReadiness readiness;
  private final DaemonEndpoints endpoints;
  @Nullable private volatile IOException endpointFailure;

  /** Creates a daemon; nothing is bound before {@link #start()}. */
  public BalancerDaemon(
      ForwardingSettings settings, SegmentCodec segments, StateSource source, EventLog log) {
    this.settings = settings;
    this.segments = segments;
    this.log = log;
    policy = settings.policy();
    metrics = new ForwardingMetrics(log);
    clientPort = new UdpPort(settings.clientEndpoint(), log);
    peerPort = new UdpPort(Endpoint.of(settings.address(), settings.peerPort()), log);
    balancers = new PeerDirectory(settings.address(), settings.zone());
    keeper = new StateKeeper(policy.retention().goneTargetMs(), this::onState);
    changes = new StateChangeLog(log);
    SourceReaders readers = new SourceReaders(settings.address(), settings.zone());
    SourceFollower.Conditions conditions =
        new SourceFollower.Conditions(policy, processorLag, readers);
    follower = new SourceFollower(source, keeper, this::onConfirmed, conditions, log, metrics);
    catchUp = new PeerCatchUp(settings, keeper, follower, metrics, log);
    AddressCache peers = new AddressCache(settings.peerPort());
    balancer = createBalancer(peers);
    confirmation = new StateConfirmation(balancer, keeper, follower, readers);
    beacons = createBeacons(peers);
    messages = createMessages(peers);
    readiness = new BalancerReadiness(policy, balancer, balancers, drain, log);
    endpoints = new DaemonEndpoints(settings, readiness, this::encodedState, metrics, log);
    nameGauges(source);
  }

  private FlowBalancer createBalancer(AddressCache peers) {
    PeerSender sender = new PeerSender(peerPort, peers, metrics);
    ClientSender clients = new ClientSender(clientPort, settings.clientEndpoint().port(), segments);
    BalancerOutput output =
        new BalancerOutput(settings, sender, clients, balancers, keeper, catchUp);
    return new FlowBalancer(policy, settings.zone(), output, metrics, MonotonicClock.nowMs());
  }

  private BalancerBeacons createBeacons(AddressCache peers) {
    return new BalancerBeacons(
        settings.zone(),
        balancers,
        new PeerSender(peerPort, peers, metrics),
        confirmation::advertisedAgeMs,
        balancer::activeAgentCount);
  }

  private BalancerMessages createMessages(AddressCache peers) {
    PeerSender answers = new PeerSender(peerPort, peers, metrics);
    BalancerMessages.Parts parts =
        new BalancerMessages.Parts(
            settings.zone(), balancers, beacons, keeper, confirmation, catchUp);
    return new BalancerMessages(parts, answers, balancer, segments, metrics, log);
  }

  private void nameGauges(StateSource source) {
    metrics.gauge(ForwardingGauge.FLOWS, balancer::flowCount);
    metrics.gauge(ForwardingGauge.BALANCERS, () -> balancers.liveCount(MonotonicClock.nowMs()));
    metrics.gauge(ForwardingGauge.STATE_REVISION, () -> Revision.count(keeper.state().revision()));
    metrics.gauge(ForwardingGauge.STATE_ERA, () -> Revision.era(keeper.state().revision()));
    metrics.gauge(
        ForwardingGauge.CONFIGURATION_VERSION, () -> keeper.state().configuration().version());
    metrics.gauge(ForwardingGauge.STATE_AGE_MS, confirmation::metricAgeMs);
    metrics.gauge(ForwardingGauge.READY_TARGETS, () -> readyTargets(keeper.state()));
    metrics.gauge(ForwardingGauge.UNUSABLE_ITEMS, source::unusableItems);
    metrics.gauge(ForwardingGauge.ANSWERS_WITHOUT_ERA, source::answersWithoutEra);
    metrics.gauge(ForwardingGauge.LINES_LEFT_OUT, log::droppedLines);
  }

  private static long readyTargets(FleetState state) {
    long ready = 0;
    for (TargetRecord target : state.targets()) {
      if (target.phase() == TargetPhase.READY) {
        ready++;
      }
    }
    return ready;
  }

  @Override
  public void start() throws IOException {
    peerPort.bind();
    clientPort.bind();
    clientPort.start("client-segments", this::onClientDatagram);
    peerPort.start("peer-messages", messages);
    follower.start();
    reload(settings);
    beacons.sendRegular(keeper.state(), MonotonicClock.nowMs());
    catchUp.start();
  }

  // The servers cost as much processor time as all before them, which clients would wait for: they
  // start when there is a state, and on a thread of their own, since what is due can't wait for
  // them.
  private void startEndpoints() {
    try {
      long deadlineMs = MonotonicClock.nowMs() + ENDPOINTS_WITHIN_MS;
      while (!readiness.isConfigured() && MonotonicClock.nowMs() < deadlineMs) {
        Thread.sleep(MainLoop.TICK_MS);
      }
      if (policy.uses(Mechanism.PACED_START)) {
        processorLag.awaitLow(ENDPOINTS_AFTER_READY_MS);
      }
      endpoints.start();
    } catch (IOException e) {
      log.event("endpoint-failed", "detail", e.toString());
      endpointFailure = e;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void reload(ForwardingSettings newer) {
    balancers.addSeeds(newer.seeds(), MonotonicClock.nowMs());
  }

  @Override
  public void run() throws InterruptedException, IOException {
    Thread endpointStarter = new Thread(this::startEndpoints, "endpoints");
    endpointStarter.setDaemon(true);
    endpointStarter.start();
    TickTimer beaconTimer = new TickTimer();
    TickTimer sweepTimer = new TickTimer();
    long ranAtMs = MonotonicClock.nowMs();
    while (!drain.isDone(MonotonicClock.nowMs())) {
      Thread.sleep(MainLoop.TICK_MS);
      throwEndpointFailure();
      long nowMs = MonotonicClock.nowMs();
      processorLag.recordRun(nowMs - ranAtMs - MainLoop.TICK_MS);
      keeper.onTick(nowMs);
      balancer.onTick(nowMs);
      if (beaconTimer.restartIfDue(BalancerBeacons.PERIOD_MS, nowMs)) {
        beacons.sendRegular(keeper.state(), nowMs);
      }
      if (sweepTimer.restartIfDue(MainLoop.SWEEP_MS, nowMs)) {
        balancer.onSweep(nowMs);
      }
      catchUp.fetchIfBehind(nowMs);
      readiness.checkIsolation(nowMs);
      ranAtMs = MonotonicClock.nowMs();
    }
    log.event("stopped", "flows", balancer.flowCount());
  }

  private void throwEndpointFailure() throws IOException {
    if (endpointFailure != null) {
      throw endpointFailure;
    }
  }

  @Override
  public void stop() {
    if (drain.begin(MonotonicClock.nowMs())) {
      log.event("stopping", "flows", balancer.flowCount());
    }
  }

  private void onState(FleetState before, FleetState after, long nowMs) {
    balancer.onState(after, nowMs);
    boolean configurationChanged = changes.logConfiguration(before, after);
    List<TargetRecord> changedTargets = changes.logTargets(before, after);
    boolean evacuationsChanged = changes.logEvacuations(before, after);
    readiness.onState(after);
    if (evacuationsChanged) {
      // Each agent has to know, so that none takes what a balancer that is behind sends it.
      beacons.sendChanges(after, after.targets(), nowMs);
    } else if (configurationChanged || !changedTargets.isEmpty()) {
      beacons.sendChanges(after, changedTargets, nowMs);
    }
  }

  private void onConfirmed(long atMs) {
    confirmation.onConfirmed(atMs);
  }

  private byte[] encodedState(String query) {
    PeerStateQuery known = PeerStateQuery.parse(query);
    return keeper.encodedSince(known.revision(), known.version());
  }

  private void onClientDatagram(int sourceAddress, ByteBuffer datagram) {
    long nowMs = MonotonicClock.nowMs();
    drain.onClientSegment(nowMs);
    metrics.count(ForwardingCounter.CLIENT_DATAGRAMS);
    Segment segment = segments.decodeFromClient(datagram);
    if (segment == null) {
      metrics.count(ForwardingCounter.BAD_CLIENT_DATAGRAMS);
      FlowId unknown = new FlowId(sourceAddress, 0, 0, 0);
      metrics.decided(Decision.DROPPED_MALFORMED, unknown, 0, "head", -1);
      return;
    }
    balancer.onClientSegment(segment, datagram, nowMs);
  }
}
