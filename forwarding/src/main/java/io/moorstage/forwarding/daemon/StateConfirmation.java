package io.moorstage.forwarding.daemon;

import io.moorstage.core.balancer.FlowBalancer;
import io.moorstage.core.state.Revision;
import io.moorstage.forwarding.net.MonotonicClock;
import io.moorstage.forwarding.peer.BalancerBeacons;
import io.moorstage.forwarding.peer.PeerMessage;
import io.moorstage.forwarding.source.SourceFollower;
import io.moorstage.forwarding.source.SourceReaders;
import io.moorstage.forwarding.state.StateKeeper;

/**
 * When was this balancer's state last known to be current?
 *
 * <p>Inputs: answers of the source, and beacons of balancers that read it, with the age of their
 * confirmation in milliseconds. Rule: the newest confirmation counts; one of a peer that knows
 * nothing newer than this node confirms this node's state too, and each holds for {@link
 * #CONFIRMED_FOR_MS}. Reason: only a confirmed state proves that an address has no route, in which
 * case the client gets a reset instead of silence. Thread-safe.
 */
final class StateConfirmation {
  /**
   * For how long a confirmation holds, in milliseconds: the next one is due after the wait of a
   * call, and a peer hears of it with the next beacon. Not measured.
   */
  static final int CONFIRMED_FOR_MS = SourceFollower.WAIT_MS + BalancerBeacons.PERIOD_MS;

  /** The gauge's value while the state has never been confirmed. */
  private static final long NO_AGE = -1;

  private final FlowBalancer balancer;
  private final StateKeeper keeper;
  private final SourceFollower follower;
  private final SourceReaders readers;
  private volatile long confirmedAtMs;

  StateConfirmation(
      FlowBalancer balancer, StateKeeper keeper, SourceFollower follower, SourceReaders readers) {
    this.balancer = balancer;
    this.keeper = keeper;
    this.follower = follower;
    this.readers = readers;
  }

  /** The state was current at some time of the monotonic clock, in milliseconds. */
  void onConfirmed(long atMs) {
    if (atMs > confirmedAtMs) {
      confirmedAtMs = atMs;
      balancer.onConfirmed(atMs + CONFIRMED_FOR_MS);
    }
  }

  /** A peer whose state the source has confirmed, and which knows nothing newer, confirms ours. */
  void onBeacon(int peer, PeerMessage.BalancerBeacon beacon, long nowMs) {
    int ageMs = beacon.confirmedAgeMs();
    readers.heard(peer, beacon.zone(), ageMs, nowMs);
    if (beacon.isConfirmed() && confirms(beacon.revision(), keeper.state().revision())) {
      onConfirmed(nowMs - ageMs);
    }
  }

  /**
   * Returns whether a peer whose state the source has confirmed confirms this node's too. One of an
   * earlier era does not: the source has come back since, and may hold what neither of them knows.
   */
  static boolean confirms(long peerRevision, long ownRevision) {
    return peerRevision <= ownRevision && !Revision.isOfEarlierEra(peerRevision, ownRevision);
  }

  /**
   * Returns the age to advertise, in milliseconds, or {@link
   * PeerMessage.BalancerBeacon#NOT_CONFIRMED} if this node does not read the source, or is not
   * answered.
   */
  int advertisedAgeMs(long nowMs) {
    boolean confirmed = follower.isAnswering() && confirmedAtMs > 0;
    return confirmed
        ? (int) Math.min(nowMs - confirmedAtMs, Integer.MAX_VALUE)
        : PeerMessage.BalancerBeacon.NOT_CONFIRMED;
  }

  /** Returns the gauge's value: milliseconds since the last confirmation, -1 before the first. */
  long metricAgeMs() {
    return confirmedAtMs == 0 ? NO_AGE : MonotonicClock.nowMs() - confirmedAtMs;
  }
}
