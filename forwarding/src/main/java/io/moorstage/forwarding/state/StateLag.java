package io.moorstage.forwarding.state;

/**
 * Notices that peers know a newer state than this node, and decides when to ask one of them. Times
 * are milliseconds.
 */
public final class StateLag {
  /**
   * How long the source, or a balancer of the own zone, has to report what a peer elsewhere knows
   * already, in milliseconds. Not measured; chosen above a call to the source and a beacon's way.
   */
  private static final int SOURCE_DELAY_MS = 150;

  private int aheadPeer;
  private boolean aheadPeerIsNear;
  private long aheadRevision;
  private long sinceMs;
  private boolean behind;

  /**
   * A peer has told up to which revision it knows all.
   *
   * @param isNear whether the peer is in this node's zone: such a one is asked rather than others
   */
  public synchronized void told(
      int peer, boolean isNear, long revision, long ownRevision, long nowMs) {
    if (revision <= ownRevision) {
      return;
    }
    if (!behind || isNear || !aheadPeerIsNear) {
      aheadPeer = peer;
      aheadPeerIsNear = isNear;
    }
    if (!behind) {
      behind = true;
      sinceMs = nowMs;
      aheadRevision = revision;
    }
  }

  /**
   * Returns the peer to ask for its state now, or 0 if none is to be asked.
   *
   * @param ownRevision the revision up to which this node knows all, 0 if it knows nothing
   * @param sourceAnswers whether the last call to the source was answered
   */
  public synchronized int peerToAsk(long ownRevision, boolean sourceAnswers, long nowMs) {
    if (!behind) {
      return 0;
    }
    if (ownRevision >= aheadRevision) {
      behind = false;
      return 0;
    }
    // The source, or a peer of the same zone, usually tells a moment later. A source that has not
    // answered will not.
    boolean waits = ownRevision > 0 && (sourceAnswers || !aheadPeerIsNear);
    if (waits && nowMs - sinceMs <= SOURCE_DELAY_MS) {
      return 0;
    }
    behind = false;
    return aheadPeer;
  }
}
