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

/** Receives the segments of clients and forwards each to the agent of the flow's target. */
public final class BalancerDaemon implements ForwardingDaemon {
  /**
   * The maximum time that the HTTP servers wait for a configuration, in milliseconds. A source that
   * responds has been read by then. The servers start without a configuration after this time,
   * since metrics are read in that case too.
   */
  private static final int MAX_CONFIGURATION_WAIT_MS = 3_000;

  /**
   * The maximum time that the HTTP servers wait for a free processor once a configuration is known,
   * in milliseconds. Routers send to a node that is not ready only if no node is ready; forwarding
   * requests is then more important than reporting readiness (docs/MEASURED-POLICY.md).
   */
  private static final int MAX_PROCESSOR_WAIT_MS = 1_500;

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
  private final BalancerMessageHandler messageHandler;
  private final StateChangeLog changes;
  private final ProcessorLag processorLag = new ProcessorLag();
  private final BalancerDrain drain = new BalancerDrain();
  private final BalancerReadiness readiness;
  private final DaemonEndpoints endpoints;
  @Nullable private volatile IOException endpointFailure;

  /** Creates a daemon. No port is bound before {@link #start()}. */
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
    AddressCache peerAddresses = new AddressCache(settings.peerPort());
    balancer = createBalancer(peerAddresses);
    confirmation = new StateConfirmation(balancer, keeper, follower, readers);
    beacons = createBeacons(peerAddresses);
    messageHandler = createMessageHandler(peerAddresses);
    readiness = new BalancerReadiness(policy, balancer, balancers, drain, log);
    endpoints = new DaemonEndpoints(settings, readiness, this::encodedState, metrics, log);
    registerGauges(source, readers);
  }

  private FlowBalancer createBalancer(AddressCache peerAddresses) {
    PeerSender sender = new PeerSender(peerPort, peerAddresses, metrics);
    ClientSender clients = new ClientSender(clientPort, settings.clientEndpoint().port(), segments);
    BalancerOutput output =
        new BalancerOutput(settings, sender, clients, balancers, keeper, catchUp);
    FlowBalancer created =
        new FlowBalancer(policy, settings.zone(), output, metrics, MonotonicClock.nowMs());
    created.setOrderPeriod(orderPeriod());
    return created;
  }

  // The time of day, unlike the monotonic clock, gives all balancers the same period.
  private long orderPeriod() {
    return System.currentTimeMillis() / policy.overload().orderPeriodMs();
  }

  private BalancerBeacons createBeacons(AddressCache peerAddresses) {
    return new BalancerBeacons(
        settings.zone(),
        balancers,
        new PeerSender(peerPort, peerAddresses, metrics),
        confirmation::advertisedAgeMs,
        balancer::activeAgentCount);
  }

  private BalancerMessageHandler createMessageHandler(AddressCache peerAddresses) {
    PeerSender responseSender = new PeerSender(peerPort, peerAddresses, metrics);
    BalancerMessageHandler.Collaborators collaborators =
        new BalancerMessageHandler.Collaborators(
            settings.zone(), balancers, beacons, keeper, confirmation, catchUp);
    return new BalancerMessageHandler(
        collaborators, responseSender, balancer, segments, metrics, log);
  }

  private void registerGauges(StateSource source, SourceReaders readers) {
    metrics.gauge(ForwardingGauge.FLOWS, balancer::flowCount);
    metrics.gauge(ForwardingGauge.BALANCERS, () -> balancers.liveCount(MonotonicClock.nowMs()));
    metrics.gauge(ForwardingGauge.STATE_REVISION, () -> Revision.count(keeper.state().revision()));
    metrics.gauge(ForwardingGauge.STATE_ERA, () -> Revision.era(keeper.state().revision()));
    metrics.gauge(
        ForwardingGauge.CONFIGURATION_VERSION, () -> keeper.state().configuration().version());
    metrics.gauge(ForwardingGauge.STATE_AGE_MS, confirmation::metricAgeMs);
    metrics.gauge(ForwardingGauge.READERS_NOT_RELIED_ON, readers::distrustedCount);
    metrics.gauge(ForwardingGauge.READY_TARGETS, () -> readyTargets(keeper.state()));
    metrics.gauge(
        ForwardingGauge.ADMISSION_LEVEL,
        () -> balancer.lowestAdmissionLevel(MonotonicClock.nowMs()));
    metrics.gauge(
        ForwardingGauge.SERVICE_TIME_SPREAD_PERCENT,
        () -> Math.round(100 * balancer.serviceTimeSpread(MonotonicClock.nowMs())));
    metrics.gauge(ForwardingGauge.TICK_DELAY_MS, processorLag::maxDelayMs);
    metrics.gauge(ForwardingGauge.UNUSABLE_ITEMS, source::unusableItems);
    metrics.gauge(ForwardingGauge.ANSWERS_WITHOUT_ERA, source::responsesWithoutEra);
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
    peerPort.start("peer-messages", messageHandler);
    follower.start();
    reload(settings);
    beacons.sendRegular(keeper.state(), MonotonicClock.nowMs());
    catchUp.start();
  }

  // The start of the servers takes as much processor time as the rest of the startup and would
  // delay clients. They start once a configuration is known, and on a separate thread so that they
  // do not delay the timers of the main loop.
  private void startEndpoints() {
    try {
      long deadlineMs = MonotonicClock.nowMs() + MAX_CONFIGURATION_WAIT_MS;
      while (!readiness.isConfigured() && MonotonicClock.nowMs() < deadlineMs) {
        Thread.sleep(MainLoop.TICK_MS);
      }
      if (policy.uses(Mechanism.PACED_START)) {
        processorLag.awaitLow(MAX_PROCESSOR_WAIT_MS);
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
  public void reload(ForwardingSettings newSettings) {
    balancers.addSeeds(newSettings.seeds(), MonotonicClock.nowMs());
  }

  @Override
  public void run() throws InterruptedException, IOException {
    Thread endpointStarter = new Thread(this::startEndpoints, "endpoints");
    endpointStarter.setDaemon(true);
    endpointStarter.start();
    TickTimer beaconTimer = new TickTimer();
    TickTimer sweepTimer = new TickTimer();
    long tickEndedAtMs = MonotonicClock.nowMs();
    while (!drain.isDone(MonotonicClock.nowMs())) {
      Thread.sleep(MainLoop.TICK_MS);
      throwEndpointFailure();
      long nowMs = MonotonicClock.nowMs();
      processorLag.recordRun(nowMs - tickEndedAtMs - MainLoop.TICK_MS, nowMs);
      keeper.onTick(nowMs);
      balancer.setOrderPeriod(orderPeriod());
      balancer.onTick(nowMs);
      if (beaconTimer.restartIfDue(BalancerBeacons.PERIOD_MS, nowMs)) {
        balancer.setReportInterval(beacons.reportIntervalMs(nowMs));
        beacons.sendRegular(keeper.state(), nowMs);
      }
      if (sweepTimer.restartIfDue(MainLoop.SWEEP_MS, nowMs)) {
        balancer.onSweep(nowMs);
      }
      catchUp.fetchIfBehind(nowMs);
      readiness.updateIsolation(nowMs);
      tickEndedAtMs = MonotonicClock.nowMs();
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
      // Every agent needs the evacuations, so that it gives back openings that a balancer with an
      // older state forwards to an evacuated zone.
      beacons.sendChanges(after, after.targets(), nowMs);
    } else if (configurationChanged || !changedTargets.isEmpty()) {
      beacons.sendChanges(after, changedTargets, nowMs);
    }
  }

  private void onConfirmed(long atMs) {
    confirmation.onConfirmed(atMs);
  }

  private byte[] encodedState(String query) {
    PeerStateQuery peerQuery = PeerStateQuery.parse(query);
    return keeper.encodedSince(peerQuery.revision(), peerQuery.version());
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
