package io.moorstage.forwarding.daemon;

import io.moorstage.core.balancer.FlowBalancer;
import io.moorstage.core.state.Revision;
import io.moorstage.forwarding.net.MonotonicClock;
import io.moorstage.forwarding.peer.BalancerBeacons;
import io.moorstage.forwarding.peer.PeerMessage;
import io.moorstage.forwarding.source.SourceFollower;
import io.moorstage.forwarding.source.SourceReaders;
import io.moorstage.forwarding.state.StateKeeper;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Tracks when this balancer's state was last confirmed as current. Thread-safe.
 *
 * <p>Inputs: the responses of the source, and the beacons of balancers that read it, with the age
 * of their last confirmation in milliseconds.
 *
 * <p>The newest confirmation counts and is valid for {@link #CONFIRMATION_TTL_MS}. The confirmation
 * of a peer that has no newer revision than this node confirms this node's state too.
 *
 * <p>Only a confirmed state proves that an address has no route. The client then gets a reset,
 * while its opening is dropped without a response as long as the state is not confirmed.
 */
final class StateConfirmation {
  /**
   * How long a confirmation is valid, in milliseconds: the next one is due after the wait of a
   * source call, and a peer receives it with the next beacon.
   */
  static final int CONFIRMATION_TTL_MS = SourceFollower.WAIT_MS + BalancerBeacons.PERIOD_MS;

  /** The value of the gauge before the first confirmation. */
  private static final long NEVER_CONFIRMED = -1;

  private final FlowBalancer balancer;
  private final StateKeeper keeper;
  private final SourceFollower follower;
  private final SourceReaders readers;
  private final AtomicLong confirmedAtMs = new AtomicLong();

  StateConfirmation(
      FlowBalancer balancer, StateKeeper keeper, SourceFollower follower, SourceReaders readers) {
    this.balancer = balancer;
    this.keeper = keeper;
    this.follower = follower;
    this.readers = readers;
  }

  /** Records that the state was current at a time of the monotonic clock, in milliseconds. */
  void onConfirmed(long atMs) {
    long before = confirmedAtMs.getAndAccumulate(atMs, Math::max);
    if (atMs > before) {
      balancer.onConfirmed(atMs + CONFIRMATION_TTL_MS);
    }
  }

  /**
   * Records the confirmation that a peer advertises. It also confirms this node's state if {@link
   * #confirms} holds for the two revisions.
   */
  void onBeacon(int peer, PeerMessage.BalancerBeacon beacon, long nowMs) {
    int ageMs = beacon.confirmationAgeMs();
    long ownRevision = keeper.state().revision();
    readers.recordBeacon(peer, beacon.zone(), ageMs, beacon.revision(), ownRevision, nowMs);
    if (beacon.isConfirmed() && confirms(beacon.revision(), ownRevision)) {
      onConfirmed(nowMs - ageMs);
    }
  }

  /**
   * Returns whether the confirmed state of a peer confirms the state of this node too. A state of
   * an earlier era does not: the source has been restored since, and may hold changes that neither
   * of the two nodes has.
   */
  static boolean confirms(long peerRevision, long ownRevision) {
    return peerRevision <= ownRevision && !Revision.isOfEarlierEra(peerRevision, ownRevision);
  }

  /**
   * Returns the age to advertise, in milliseconds, or {@link
   * PeerMessage.BalancerBeacon#NOT_CONFIRMED} if this node does not read the source, its last call
   * to the source failed, or the state has never been confirmed.
   */
  int advertisedAgeMs(long nowMs) {
    long atMs = confirmedAtMs.get();
    boolean confirmed = follower.isReadingSource() && atMs > 0;
    return confirmed
        ? (int) Math.min(nowMs - atMs, Integer.MAX_VALUE)
        : PeerMessage.BalancerBeacon.NOT_CONFIRMED;
  }

  /** Returns the time since the last confirmation, in milliseconds; -1 before the first one. */
  long metricAgeMs() {
    long atMs = confirmedAtMs.get();
    return atMs == 0 ? NEVER_CONFIRMED : MonotonicClock.nowMs() - atMs;
  }
}
