package io.moorstage.forwarding.state;

import java.util.ArrayList;
import java.util.List;

/**
 * The ranges of revisions that this node has skipped between two of its states. A target that was
 * listed only within such a gap is in no state of this node, but may be in that of a peer.
 * Thread-safe.
 */
final class RevisionGaps {
  /**
   * The maximum number of gaps. A node that gets its state from peers only adds a gap with each
   * response. Few peers query from within a gap, and these are behind by a moment only, so the
   * oldest gaps can be joined.
   */
  static final int MAX_GAPS = 64;

  /** Guarded by this; in order of creation, which is also the order of their revisions. */
  private final List<Gap> gaps = new ArrayList<>(1);

  /** The revisions between two known revisions, excluding both. */
  private record Gap(long afterRevision, long untilRevision) {
    private boolean contains(long revision) {
      return revision > afterRevision && revision < untilRevision;
    }
  }

  /** Adds the gap between two states; does nothing if no revision lies between them. */
  synchronized void add(long beforeRevision, long afterRevision) {
    if (afterRevision <= beforeRevision + 1) {
      return;
    }
    gaps.add(new Gap(beforeRevision, afterRevision));
    if (gaps.size() > MAX_GAPS) {
      joinOldest();
    }
  }

  // The joined gap also contains the revisions between the two gaps: a peer that queries from there
  // gets the complete state, which is correct for any revision.
  private void joinOldest() {
    Gap oldest = gaps.remove(0);
    Gap next = gaps.remove(0);
    gaps.add(0, new Gap(oldest.afterRevision(), next.untilRevision()));
  }

  /** Removes the gaps that end at a revision or before it. */
  synchronized void removeUntil(long revision) {
    gaps.removeIf(gap -> gap.untilRevision() <= revision);
  }

  /** Returns whether a revision lies in a gap. */
  synchronized boolean contains(long revision) {
    for (Gap gap : gaps) {
      if (gap.contains(revision)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the number of gaps, of which joined ones count as one. */
  synchronized int count() {
    return gaps.size();
  }
}
