package io.moorstage.forwarding.daemon;

import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.metrics.ForwardingCounter;
import io.moorstage.forwarding.metrics.ForwardingMetrics;
import io.moorstage.forwarding.net.HttpEndpoint;
import io.moorstage.forwarding.peer.BalancerBeacons;
import io.moorstage.forwarding.peer.PeerMessage;
import io.moorstage.forwarding.settings.ForwardingSettings;
import io.moorstage.forwarding.source.FirstStateReader;
import io.moorstage.forwarding.state.PeerStateClient;
import io.moorstage.forwarding.state.PeerStateFetcher;
import io.moorstage.forwarding.state.PeerStateQuery;
import io.moorstage.forwarding.state.StateSourceException;
import io.moorstage.forwarding.state.StateSourceFailure;
import java.nio.ByteBuffer;
import javax.annotation.Nullable;

/**
 * An agent's copy of the encoded fleet state, for balancers that start while the source is
 * unavailable. Thread-safe.
 */
final class AgentStateCopy
    implements FirstStateReader.CopyStore, PeerStateFetcher.StateHandler, HttpEndpoint.Content {
  /**
   * The minimum time between two fetches of the state, in milliseconds. Under continuous changes, a
   * balancer thus serves one transfer a second for each of the four copies of its zone.
   */
  private static final int COPY_INTERVAL_MS = 1_000;

  /**
   * How long the copy may be stale before it is fetched from a balancer of another zone, in
   * milliseconds. In this time, the balancers of the own zone send six regular beacons.
   */
  private static final int OTHER_ZONE_DELAY_MS = 6 * BalancerBeacons.PERIOD_MS;

  /** The offset of the revision in an encoded state, in bytes. */
  private static final int REVISION_OFFSET = 1;

  private final String zone;
  private final ForwardingMetrics metrics;
  private final PeerStateFetcher fetcher;
  @Nullable private volatile byte[] encoded;
  private volatile long revision;

  /** Guarded by this, as are the fields after it. */
  private long lastFetchAtMs;

  /** Whether a balancer has advertised {@link #aheadRevision}, which the copy lacks. */
  private boolean isStale;

  private long aheadRevision;
  private long staleSinceMs;

  AgentStateCopy(ForwardingSettings settings, ForwardingMetrics metrics, EventLog log) {
    this.zone = settings.zone();
    this.metrics = metrics;
    PeerStateClient client = new PeerStateClient(settings.statePort());
    this.fetcher = new PeerStateFetcher(client, () -> PeerStateQuery.COMPLETE_STATE, this, log);
  }

  /** Starts the thread that fetches the state from balancers. */
  void start() {
    fetcher.start();
  }

  /** Returns the source's revision of the copy, or 0 if there is none. */
  long revision() {
    return revision;
  }

  /** Returns the encoded state, or null if there is none. */
  @Override
  @Nullable
  public byte[] body(@Nullable String query) {
    return encoded;
  }

  /**
   * Fetches the state of a balancer that advertises a newer revision. Traffic between zones is
   * charged, so a balancer of another zone is used only if the copy has been stale for {@link
   * #OTHER_ZONE_DELAY_MS}.
   */
  void onBeacon(int balancer, PeerMessage.BalancerBeacon beacon, long nowMs) {
    if (isFetchDue(beacon, nowMs)) {
      fetcher.fetch(balancer);
    }
  }

  /** Returns whether the state of a balancer is to be fetched now, and if so records the time. */
  synchronized boolean isFetchDue(PeerMessage.BalancerBeacon beacon, long nowMs) {
    if (beacon.revision() <= revision || !beacon.keepsCopy()) {
      return false;
    }
    if (!isStale || revision >= aheadRevision) {
      isStale = true;
      aheadRevision = beacon.revision();
      staleSinceMs = nowMs;
    }
    boolean sameZone = beacon.zone().equals(zone);
    boolean otherZoneAllowed = nowMs - staleSinceMs > OTHER_ZONE_DELAY_MS;
    boolean isDue = (sameZone || otherZoneAllowed) && nowMs - lastFetchAtMs >= COPY_INTERVAL_MS;
    if (isDue) {
      lastFetchAtMs = nowMs;
    }
    return isDue;
  }

  @Override
  public void onPeerState(int peerAddress, PeerStateQuery query, byte[] peerState)
      throws StateSourceException {
    if (peerState.length < REVISION_OFFSET + Long.BYTES) {
      throw new StateSourceException(
          StateSourceFailure.MALFORMED, "peer state truncated: " + peerState.length + " bytes");
    }
    if (storeIfNewer(peerState)) {
      metrics.count(ForwardingCounter.PEER_STATES);
    }
  }

  /** Stores an encoded state if it is newer than the current copy, and returns whether it is. */
  @Override
  public synchronized boolean storeIfNewer(byte[] newer) {
    long newerRevision = ByteBuffer.wrap(newer).getLong(REVISION_OFFSET);
    if (newerRevision <= revision) {
      return false;
    }
    encoded = newer;
    revision = newerRevision;
    return true;
  }
}
