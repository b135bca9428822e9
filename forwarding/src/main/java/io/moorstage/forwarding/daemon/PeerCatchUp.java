package io.moorstage.forwarding.daemon;

import io.moorstage.core.model.Endpoint;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.Revision;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.metrics.ForwardingCounter;
import io.moorstage.forwarding.metrics.ForwardingMetrics;
import io.moorstage.forwarding.net.MonotonicClock;
import io.moorstage.forwarding.net.TickTimer;
import io.moorstage.forwarding.settings.ForwardingSettings;
import io.moorstage.forwarding.source.SourceFollower;
import io.moorstage.forwarding.state.FleetStateCodec;
import io.moorstage.forwarding.state.PeerStateClient;
import io.moorstage.forwarding.state.PeerStateFetcher;
import io.moorstage.forwarding.state.PeerStateQuery;
import io.moorstage.forwarding.state.StateKeeper;
import io.moorstage.forwarding.state.StateLag;
import io.moorstage.forwarding.state.StateSourceException;

/**
 * Fetches the state of a peer that has a newer one than this balancer. {@link StateLag} decides
 * when and from which peer. Thread-safe.
 *
 * <p>The source does not know the former services of routes, at whose targets flows may still be
 * open. So after its start this balancer also fetches the complete state of one peer that is not
 * ahead, if the source was faster, and takes the former services from it.
 */
final class PeerCatchUp implements PeerStateFetcher.StateHandler {
  /**
   * The time between attempts to fetch a first complete state, in milliseconds. After a loss of all
   * nodes, peers send beacons before they serve their state, and each failed fetch takes processor
   * time from the start.
   */
  private static final int FIRST_PEER_STATE_RETRY_MS = 1_000;

  private final String zone;
  private final StateKeeper keeper;
  private final SourceFollower follower;
  private final ForwardingMetrics metrics;
  private final EventLog log;
  private final PeerStateFetcher fetcher;
  private final StateLag lag = new StateLag();

  /** Guarded by this. */
  private final TickTimer firstPeerStateTimer = new TickTimer();

  /** Whether the complete state of a peer has been received since the start. */
  private volatile boolean hasPeerState;

  PeerCatchUp(
      ForwardingSettings settings,
      StateKeeper keeper,
      SourceFollower follower,
      ForwardingMetrics metrics,
      EventLog log) {
    this.zone = settings.zone();
    this.keeper = keeper;
    this.follower = follower;
    this.metrics = metrics;
    this.log = log;
    PeerStateClient client = new PeerStateClient(settings.statePort());
    this.fetcher = new PeerStateFetcher(client, this::ownStateQuery, this, log);
  }

  /** Starts the thread that fetches states. */
  void start() {
    fetcher.start();
  }

  /** Records the revision up to which a peer has all changes, and fetches its state if due. */
  void onAdvertised(int peer, String peerZone, long revision, long nowMs) {
    boolean isSameZone = peerZone.equals(zone);
    lag.recordPeerRevision(peer, isSameZone, revision, keeper.state().revision(), nowMs);
    if (revision > 0 && isFirstPeerStateDue(nowMs)) {
      fetcher.fetch(peer);
    }
    fetchIfBehind(nowMs);
  }

  private synchronized boolean isFirstPeerStateDue(long nowMs) {
    return !hasPeerState
        && !fetcher.isBusy()
        && firstPeerStateTimer.restartIfDue(FIRST_PEER_STATE_RETRY_MS, nowMs);
  }

  /**
   * Fetches the state of a peer that is ahead of this node, once the source has had time to deliver
   * the same changes. The main loop calls this at each tick.
   */
  void fetchIfBehind(long nowMs) {
    if (keeper.state().revision() == 0 && fetcher.isBusy()) {
      // While this node starts, many peers advertise the same state; a single fetch is sufficient.
      return;
    }
    int peer = lag.peerToQuery(keeper.state().revision(), follower.isReadingSource(), nowMs);
    if (peer != 0) {
      fetcher.fetch(peer);
    }
  }

  /** Fetches the state of a peer without waiting for the source. */
  void fetch(int peer) {
    fetcher.fetch(peer);
  }

  private PeerStateQuery ownStateQuery() {
    if (!hasPeerState) {
      return PeerStateQuery.COMPLETE_STATE;
    }
    FleetState state = keeper.state();
    return new PeerStateQuery(state.revision(), state.configuration().version());
  }

  @Override
  public void onPeerState(int peerAddress, PeerStateQuery query, byte[] encoded)
      throws StateSourceException {
    FleetStateCodec.PeerState response = FleetStateCodec.decode(encoded);
    FleetState peerState = response.state();
    if (response.complete()) {
      hasPeerState = true;
    }
    long ownRevision = keeper.state().revision();
    if (peerState.revision() <= ownRevision) {
      keeper.merge(peerState.configuration(), MonotonicClock.nowMs());
      return;
    }
    log.event(
        "state-from-peer",
        "peer",
        Endpoint.of(peerAddress, 0).host(),
        "revision",
        Revision.text(peerState.revision()),
        "before",
        Revision.text(ownRevision));
    metrics.count(ForwardingCounter.PEER_STATES);
    if (response.complete()) {
      keeper.replaceBy(peerState, MonotonicClock.nowMs());
    } else {
      keeper.merge(peerState, query.revision(), MonotonicClock.nowMs());
    }
  }
}
