package io.moorstage.forwarding;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The balancers that a node knows: told in the settings, told by others, or heard from directly.
 * Those that stay silent are forgotten.
 */
final class PeerDirectory {
  private static final long FORGET_HEARD_MS = 90_000;
  private static final long FORGET_TOLD_MS = 20_000;
  private static final long LIVE_MS = 3_000;

  private final int ownAddress;
  private final Map<Integer, Long> forgetAtMs = new HashMap<>();
  private final Map<Integer, Long> heardAtMs = new HashMap<>();

  PeerDirectory(int ownAddress) {
    this.ownAddress = ownAddress;
  }

  /** Another node has told of a balancer. */
  synchronized void told(int address, long nowMs) {
    if (address != ownAddress) {
      forgetAtMs.putIfAbsent(address, nowMs + FORGET_TOLD_MS);
    }
  }

  /**
   * A balancer has been heard from.
   *
   * @return whether it was silent or unknown before
   */
  synchronized boolean heard(int address, long nowMs) {
    if (address == ownAddress) {
      return false;
    }
    forgetAtMs.put(address, nowMs + FORGET_HEARD_MS);
    Long before = heardAtMs.put(address, nowMs);
    return before == null || nowMs - before > LIVE_MS;
  }

  /** Returns all balancers that are worth a beacon. */
  synchronized int[] known(long nowMs) {
    for (Iterator<Map.Entry<Integer, Long>> all = forgetAtMs.entrySet().iterator();
        all.hasNext(); ) {
      Map.Entry<Integer, Long> entry = all.next();
      if (entry.getValue() < nowMs) {
        heardAtMs.remove(entry.getKey());
        all.remove();
      }
    }
    int[] addresses = new int[forgetAtMs.size()];
    int count = 0;
    for (int address : forgetAtMs.keySet()) {
      addresses[count++] = address;
    }
    return addresses;
  }

  /** Returns how many balancers have been heard from within some time. */
  synchronized int heardWithin(long periodMs, long nowMs) {
    int count = 0;
    for (long heardMs : heardAtMs.values()) {
      if (nowMs - heardMs <= periodMs) {
        count++;
      }
    }
    return count;
  }

  /** Returns the balancers that have been heard from of late. */
  synchronized int[] live(long nowMs) {
    int[] addresses = new int[heardAtMs.size()];
    int count = 0;
    for (Map.Entry<Integer, Long> entry : heardAtMs.entrySet()) {
      if (nowMs - entry.getValue() <= LIVE_MS) {
        addresses[count++] = entry.getKey();
      }
    }
    int[] live = new int[count];
    System.arraycopy(addresses, 0, live, 0, count);
    return live;
  }
}
