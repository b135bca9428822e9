package io.moorstage.forwarding.state;

/**
 * Detects that peers have a newer state than this node, and decides when to query one of them.
 * Times are in milliseconds.
 */
public final class StateLag {
  /**
   * How long to wait for the source, or for a balancer in the same zone, to provide a newer state
   * that a peer has advertised, in milliseconds. Exceeds the time of a request to the source and
   * the delay of a beacon.
   */
  private static final int SOURCE_DELAY_MS = 150;

  private int aheadPeer;
  private boolean isAheadPeerInSameZone;
  private long aheadRevision;
  private long behindSinceMs;
  private boolean isBehind;

  /**
   * Records the revision that a peer has advertised.
   *
   * @param peer IPv4 address of the peer
   * @param isSameZone whether the peer is in this node's zone; such a peer is preferred
   * @param revision the revision up to which the peer's state is complete
   * @param ownRevision the revision up to which this node's state is complete
   */
  public synchronized void recordPeerRevision(
      int peer, boolean isSameZone, long revision, long ownRevision, long nowMs) {
    if (revision <= ownRevision) {
      return;
    }
    if (!isBehind || isSameZone || !isAheadPeerInSameZone) {
      aheadPeer = peer;
      isAheadPeerInSameZone = isSameZone;
    }
    if (!isBehind) {
      isBehind = true;
      behindSinceMs = nowMs;
      aheadRevision = revision;
    }
  }

  /**
   * Returns the address of the peer to query for its state now, or 0 if no query is due.
   *
   * @param ownRevision the revision up to which this node's state is complete, 0 if it has none
   * @param isReadingSource whether this node reads the source and its last request succeeded
   */
  public synchronized int peerToQuery(long ownRevision, boolean isReadingSource, long nowMs) {
    if (!isBehind) {
      return 0;
    }
    if (ownRevision >= aheadRevision) {
      isBehind = false;
      return 0;
    }
    // The source, or a peer in the same zone, usually provides the newer state a moment later. A
    // source that did not respond to the last request is not expected to.
    boolean mayWait = ownRevision > 0 && (isReadingSource || !isAheadPeerInSameZone);
    if (mayWait && nowMs - behindSinceMs <= SOURCE_DELAY_MS) {
      return 0;
    }
    isBehind = false;
    return aheadPeer;
  }
}
