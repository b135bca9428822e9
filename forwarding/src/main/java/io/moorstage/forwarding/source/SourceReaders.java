package io.moorstage.forwarding.source;

import io.moorstage.core.flow.FlowId;
import io.moorstage.forwarding.peer.BalancerBeacons;
import java.util.HashMap;
import java.util.Map;

/**
 * Does this balancer read the configuration source, or leave that to another one of its zone and
 * take the state from there?
 *
 * <p>Inputs: what each balancer of the zone says in its beacons of how long ago the source
 * confirmed its state, in milliseconds, at most {@link #HEARD_WITHIN_MS} old.
 *
 * <p>Rule: it leaves the reading to a balancer of higher rank whose state the source has confirmed
 * within {@link #CONFIRMED_WITHIN_MS}, and reads itself as soon as it hears of none. Nothing is
 * agreed on: each node goes by what it hears. Two that both read do no harm, since states only go
 * forward. Ranks come from a hash, so that no machine's place in a list decides.
 *
 * <p>Reason: calls to the source would grow with the balancers otherwise (docs/CAPACITY.md: 27
 * readers, one a zone, make at most 90 calls a second). While the source refuses or throttles some
 * machines, those that it answers read. Thread-safe.
 */
public final class SourceReaders {
  /** A balancer that has been silent for longer may be gone; milliseconds. */
  static final int HEARD_WITHIN_MS = BalancerBeacons.BEACON_TIMEOUT_MS;

  /**
   * Answers of the source, beacons and the processor may be late by so much, in milliseconds. Not
   * measured; with none, reserves read between two confirmations (docs/FINDINGS.md: a confirmation
   * counted for 2.4 s, the next could come after 2.5 s).
   */
  private static final int SLACK_MS = 200;

  /**
   * A confirmation that is older, in milliseconds, shows that the source does not answer: each call
   * of a reader returns within its wait, the next one follows after a pause, and a beacon
   * advertises it.
   */
  static final int CONFIRMED_WITHIN_MS =
      SourceFollower.WAIT_MS + CallPacer.INTERVAL_MS + BalancerBeacons.PERIOD_MS + SLACK_MS;

  private final int ownAddress;
  private final String ownZone;
  private final Map<Integer, Reader> readers = new HashMap<>();

  /** What a balancer of this zone has advertised last. */
  private record Reader(long heardAtMs, long confirmedAtMs) {}

  public SourceReaders(int ownAddress, String ownZone) {
    this.ownAddress = ownAddress;
    this.ownZone = ownZone;
  }

  /**
   * A balancer has advertised how it stands to the source.
   *
   * @param confirmedAgeMs how long ago the source confirmed its state; negative if it does not read
   *     the source, or is not answered
   */
  public synchronized void heard(int address, String zone, int confirmedAgeMs, long nowMs) {
    if (!zone.equals(ownZone) || address == ownAddress) {
      return;
    }
    if (confirmedAgeMs < 0) {
      readers.remove(address);
    } else {
      readers.put(address, new Reader(nowMs, nowMs - confirmedAgeMs));
    }
  }

  /** Returns whether this node has to read the source itself. */
  synchronized boolean mustRead(long nowMs) {
    readers.values().removeIf(reader -> nowMs - reader.heardAtMs() > HEARD_WITHIN_MS);
    for (Map.Entry<Integer, Reader> entry : readers.entrySet()) {
      boolean confirmed = nowMs - entry.getValue().confirmedAtMs() <= CONFIRMED_WITHIN_MS;
      if (confirmed && ranksHigher(entry.getKey(), ownAddress)) {
        return false;
      }
    }
    return true;
  }

  private static boolean ranksHigher(int address, int other) {
    return Long.compareUnsigned(FlowId.mix(address), FlowId.mix(other)) > 0;
  }
}
