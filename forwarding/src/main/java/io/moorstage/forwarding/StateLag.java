package io.moorstage.forwarding;

/**
 * Notices that peers know a newer state than this node, and decides when to ask one of them. Times
 * are milliseconds.
 */
final class StateLag {
  private static final int SOURCE_DELAY_MS = 150;

  private int aheadPeer;
  private long aheadRevision;
  private long sinceMs;
  private boolean behind;

  /** A peer has told up to which revision it knows all. */
  synchronized void told(int peer, long revision, long ownRevision, long nowMs) {
    if (revision <= ownRevision) {
      return;
    }
    aheadPeer = peer;
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
  synchronized int peerToAsk(long ownRevision, boolean sourceAnswers, long nowMs) {
    if (!behind) {
      return 0;
    }
    if (ownRevision >= aheadRevision) {
      behind = false;
      return 0;
    }
    // The source usually tells a moment later. One that has not answered will not.
    boolean waits = ownRevision > 0 && sourceAnswers;
    if (waits && nowMs - sinceMs <= SOURCE_DELAY_MS) {
      return 0;
    }
    behind = false;
    return aheadPeer;
  }
}
