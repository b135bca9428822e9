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
 * An agent's copy of the state in its encoded form, for balancers that start while the source is
 * away. Thread-safe.
 */
final class AgentStateCopy
    implements FirstStateReader.CopyTaker, PeerStateFetcher.StateHandler, HttpEndpoint.Content {
  /**
   * Time between two copies, in milliseconds. Not measured; chosen so that steady changes cost a
   * balancer one transfer a second for each of the four copies of its zone.
   */
  private static final int COPY_INTERVAL_MS = 1_000;

  /**
   * How long the copy may be stale before a balancer elsewhere is asked, in milliseconds. Not
   * measured; chosen so that the own zone's balancers had six regular beacons to offer theirs.
   */
  private static final int OTHER_ZONE_AFTER_MS = 6 * BalancerBeacons.PERIOD_MS;

  /** Where the revision stands in an encoded state, in bytes. */
  private static final int REVISION_OFFSET = 1;

  private final String zone;
  private final ForwardingMetrics metrics;
  private final PeerStateFetcher fetcher;
  @Nullable private volatile byte[] encoded;
  private volatile long revision;
  private volatile long copiedAtMs;
  private volatile long staleSinceMs;

  AgentStateCopy(ForwardingSettings settings, ForwardingMetrics metrics, EventLog log) {
    this.zone = settings.zone();
    this.metrics = metrics;
    PeerStateClient client = new PeerStateClient(settings.statePort());
    this.fetcher = new PeerStateFetcher(client, () -> PeerStateQuery.COMPLETE_STATE, this, log);
  }

  /** Starts the thread that asks balancers. */
  void start() {
    fetcher.start();
  }

  /** Returns the source's revision of the copy, 0 while there is none. */
  long revision() {
    return revision;
  }

  /** Returns the encoded state, or null while there is none. */
  @Override
  @Nullable
  public byte[] body(@Nullable String query) {
    return encoded;
  }

  /**
   * A balancer has advertised its revision. Bytes between zones cost, so the copy comes from the
   * same zone as long as there is a balancer.
   */
  void onBeacon(int balancer, PeerMessage.BalancerBeacon beacon, long nowMs) {
    if (beacon.revision() <= revision || !beacon.keepsCopy()) {
      staleSinceMs = nowMs;
      return;
    }
    boolean sameZone = beacon.zone().equals(zone);
    boolean waitedLong = nowMs - staleSinceMs > OTHER_ZONE_AFTER_MS;
    if ((sameZone || waitedLong) && nowMs - copiedAtMs >= COPY_INTERVAL_MS) {
      copiedAtMs = nowMs;
      fetcher.fetch(balancer);
    }
  }

  @Override
  public void onPeerState(int peerAddress, PeerStateQuery query, byte[] peerState)
      throws StateSourceException {
    if (peerState.length < REVISION_OFFSET + Long.BYTES) {
      throw new StateSourceException(StateSourceFailure.MALFORMED, "a peer's state is cut off");
    }
    if (take(peerState)) {
      metrics.count(ForwardingCounter.PEER_STATES);
    }
  }

  /** Keeps an encoded state if it is newer than the copy that is held; returns whether it is. */
  @Override
  public synchronized boolean take(byte[] newer) {
    long newerRevision = ByteBuffer.wrap(newer).getLong(REVISION_OFFSET);
    if (newerRevision <= revision) {
      return false;
    }
    encoded = newer;
    revision = newerRevision;
    return true;
  }
}
