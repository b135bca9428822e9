package io.moorstage.forwarding.source;

import io.moorstage.core.flow.FlowId;
import io.moorstage.forwarding.peer.BalancerBeacons;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether this balancer reads the configuration source, or leaves that to another balancer
 * of its zone and copies the state from there.
 *
 * <p>Inputs: for each balancer of the zone, the age of the source's last confirmation of its state,
 * in milliseconds, as of its last beacon, which is at most {@link #READER_TIMEOUT_MS} old.
 *
 * <p>Rule: this node leaves reading to a balancer of higher rank whose state the source has
 * confirmed within {@link #MAX_CONFIRMATION_AGE_MS}, and reads the source itself as soon as it
 * knows of none. The balancers run no agreement protocol; each decides by the beacons that it
 * receives. Two that both read do no harm, since a state is only ever replaced by a newer one.
 * Ranks come from a hash of the address, so that the position of a machine in a list does not
 * decide.
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

  private final int ownAddress;
  private final String ownZone;
  private final Map<Integer, Reader> readers = new HashMap<>();

  /**
   * A balancer of this zone that reads the source.
   *
   * @param beaconAtMs when its last beacon was received
   * @param confirmedAtMs when the source last confirmed its state
   */
  private record Reader(long beaconAtMs, long confirmedAtMs) {}

  public SourceReaders(int ownAddress, String ownZone) {
    this.ownAddress = ownAddress;
    this.ownZone = ownZone;
  }

  /**
   * Records a beacon of a balancer.
   *
   * @param confirmationAgeMs the time since the source last confirmed the balancer's state, in
   *     milliseconds; negative if the balancer does not read the source, or gets no response
   */
  public synchronized void recordBeacon(
      int address, String zone, int confirmationAgeMs, long nowMs) {
    if (!zone.equals(ownZone) || address == ownAddress) {
      return;
    }
    if (confirmationAgeMs < 0) {
      readers.remove(address);
    } else {
      readers.put(address, new Reader(nowMs, nowMs - confirmationAgeMs));
    }
  }

  /** Returns whether this node has to read the source itself. */
  synchronized boolean mustRead(long nowMs) {
    readers.values().removeIf(reader -> nowMs - reader.beaconAtMs() > READER_TIMEOUT_MS);
    for (Map.Entry<Integer, Reader> entry : readers.entrySet()) {
      boolean isRecentlyConfirmed =
          nowMs - entry.getValue().confirmedAtMs() <= MAX_CONFIRMATION_AGE_MS;
      if (isRecentlyConfirmed && outranks(entry.getKey(), ownAddress)) {
        return false;
      }
    }
    return true;
  }

  private static boolean outranks(int address, int other) {
    return Long.compareUnsigned(FlowId.mix(address), FlowId.mix(other)) > 0;
  }
}
