package io.moorstage.forwarding.source;

import io.moorstage.core.flow.FlowId;
import io.moorstage.forwarding.peer.BalancerBeacons;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether this balancer reads the configuration source, or leaves that to another balancer
 * of its zone and copies the state from there.
 *
 * <p>Inputs: for each balancer of the zone, the revision of its state and the age of the source's
 * last confirmation of it, in milliseconds, as of its last beacon, which is at most {@link
 * #READER_TIMEOUT_MS} old; and the revision of this node's state.
 *
 * <p>Rule: this node leaves reading to a balancer of higher rank whose state the source has
 * confirmed within {@link #MAX_CONFIRMATION_AGE_MS} and whose changes this node receives, and reads
 * the source itself as soon as it knows of none. If this node has not reached a revision that the
 * other one has advertised within {@link #MIN_LAG_MS} to {@link #MAX_LAG_MS}, it does not rely on
 * it for {@link #DISTRUST_MS}, whatever the reason. The limit falls with the rank, so that of
 * several such nodes one reads first and the others can receive the changes from it. The balancers
 * run no agreement protocol; each decides by the beacons that it receives. Two that both read do no
 * harm, since a state is only ever replaced by a newer one. Ranks come from a hash of the address,
 * so that the position of a machine in a list does not decide.
 *
 * <p>Reason: otherwise the calls to the source would grow with the number of balancers
 * (docs/CAPACITY.md: 27 readers, one in each zone, make at most 90 calls a second). While the
 * source refuses or throttles some machines, balancers that get responses read it. Thread-safe.
 */
public final class SourceReaders {
  /** The time without a beacon after which a reader counts as unavailable, in milliseconds. */
  static final int READER_TIMEOUT_MS = BalancerBeacons.BEACON_TIMEOUT_MS;

  /**
   * The allowed delay of responses of the source, of beacons and of the processor, in milliseconds.
   * Without it, balancers on standby read the source between two confirmations (docs/FINDINGS.md: a
   * confirmation counted for 2.4 s, the next could arrive after 2.5 s).
   */
  private static final int SLACK_MS = 200;

  /**
   * The largest age of a reader's last confirmation, in milliseconds; an older one shows that the
   * source does not respond to the reader. A call returns within its wait, the next one may be
   * delayed by the rate limit, and the confirmation is advertised with the next beacon.
   */
  static final int MAX_CONFIRMATION_AGE_MS =
      SourceFollower.WAIT_MS + CallPacer.INTERVAL_MS + BalancerBeacons.PERIOD_MS + SLACK_MS;

  /**
   * How long the balancer of the highest rank waits for changes that a reader has advertised, in
   * milliseconds: the time-out of a connection to it, and the delay of a busy processor.
   */
  static final int MIN_LAG_MS = 800;

  /**
   * The same of the lowest rank. With a beacon and a call to the source, a change that cannot be
   * received from the reader is in force within 2.2 s.
   */
  static final int MAX_LAG_MS = 1_200;

  /**
   * How long a balancer is not relied on after its changes were not received, in milliseconds, so
   * that each further change is not delayed as well.
   */
  static final int DISTRUST_MS = 30_000;

  private static final int RANK_BITS = 16;

  private final int ownAddress;
  private final String ownZone;
  private final int maxLagMs;
  private final Map<Integer, Reader> readers = new HashMap<>();

  /** Until when balancers are not relied on, by address. */
  private final Map<Integer, Long> distrustedUntilMs = new HashMap<>();

  /**
   * A balancer of this zone that reads the source.
   *
   * @param beaconAtMs when its last beacon was received
   * @param confirmedAtMs when the source last confirmed its state
   * @param awaitedRevision a revision that it has advertised and this node had not reached
   * @param awaitedSinceMs when it first advertised that revision
   */
  private record Reader(
      long beaconAtMs, long confirmedAtMs, long awaitedRevision, long awaitedSinceMs) {}

  public SourceReaders(int ownAddress, String ownZone) {
    this.ownAddress = ownAddress;
    this.ownZone = ownZone;
    this.maxLagMs = maxLagMs(ownAddress);
  }

  private static int maxLagMs(int address) {
    long rank = FlowId.mix(address) >>> Long.SIZE - RANK_BITS;
    return MAX_LAG_MS - (int) ((MAX_LAG_MS - MIN_LAG_MS) * rank >>> RANK_BITS);
  }

  /**
   * Records a beacon of a balancer.
   *
   * @param confirmationAgeMs the time since the source last confirmed the balancer's state, in
   *     milliseconds; negative if the balancer does not read the source, or gets no response
   * @param revision the revision of the balancer's state
   * @param ownRevision the revision of this node's state
   */
  public synchronized void recordBeacon(
      int address,
      String zone,
      int confirmationAgeMs,
      long revision,
      long ownRevision,
      long nowMs) {
    if (!zone.equals(ownZone) || address == ownAddress) {
      return;
    }
    if (confirmationAgeMs < 0) {
      readers.remove(address);
      return;
    }
    Reader known = readers.get(address);
    boolean stillAwaits = known != null && known.awaitedRevision() > ownRevision;
    long awaitedRevision = stillAwaits ? known.awaitedRevision() : revision;
    long awaitedSinceMs = stillAwaits ? known.awaitedSinceMs() : nowMs;
    readers.put(
        address, new Reader(nowMs, nowMs - confirmationAgeMs, awaitedRevision, awaitedSinceMs));
  }

  /**
   * Returns whether this node has to read the source itself.
   *
   * @param ownRevision the revision of this node's state
   */
  synchronized boolean mustRead(long ownRevision, long nowMs) {
    readers.values().removeIf(reader -> nowMs - reader.beaconAtMs() > READER_TIMEOUT_MS);
    distrustedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    for (Map.Entry<Integer, Reader> entry : readers.entrySet()) {
      if (mayRelyOn(entry.getKey(), entry.getValue(), ownRevision, nowMs)) {
        return false;
      }
    }
    return true;
  }

  private boolean mayRelyOn(int address, Reader reader, long ownRevision, long nowMs) {
    boolean isRecentlyConfirmed = nowMs - reader.confirmedAtMs() <= MAX_CONFIRMATION_AGE_MS;
    if (!isRecentlyConfirmed || !outranks(address, ownAddress)) {
      return false;
    }
    boolean isBehind = reader.awaitedRevision() > ownRevision;
    if (isBehind && nowMs - reader.awaitedSinceMs() > maxLagMs) {
      distrustedUntilMs.put(address, nowMs + DISTRUST_MS);
    }
    return !distrustedUntilMs.containsKey(address);
  }

  /** Returns the number of balancers of the zone whose changes were not received recently. */
  public synchronized int distrustedCount() {
    return distrustedUntilMs.size();
  }

  private static boolean outranks(int address, int other) {
    return Long.compareUnsigned(FlowId.mix(address), FlowId.mix(other)) > 0;
  }
}
