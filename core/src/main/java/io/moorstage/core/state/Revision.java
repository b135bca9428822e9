package io.moorstage.core.state;

/**
 * A revision of the configuration source, as one number that only rises.
 *
 * <p>The source counts its changes. When it comes back from an older copy of itself it gives counts
 * out again, and enters the next era. So the era stands above the count here: what is written in a
 * later era is newer, whatever its count. A source without eras is in era 0, where a revision is
 * the count itself.
 */
public final class Revision {
  private static final int COUNT_BITS = 47;

  /** The largest count: ten million changes a second for a hundred days. */
  public static final long MAX_COUNT = (1L << COUNT_BITS) - 1;

  /** The largest era, so that a revision is never negative. */
  public static final int MAX_ERA = (1 << Long.SIZE - 1 - COUNT_BITS) - 1;

  private Revision() {}

  /**
   * Returns the revision of a count in an era.
   *
   * @throws IllegalArgumentException if one of them is negative or too large
   */
  public static long of(int era, long count) {
    if (era < 0 || era > MAX_ERA || count < 0 || count > MAX_COUNT) {
      throw new IllegalArgumentException("no revision: era " + era + ", count " + count);
    }
    return (long) era << COUNT_BITS | count;
  }

  /** Returns the era of a revision. */
  public static int era(long revision) {
    return (int) (revision >>> COUNT_BITS);
  }

  /** Returns what the source counts in the revision's era. */
  public static long count(long revision) {
    return revision & MAX_COUNT;
  }

  /** Returns whether the first of two revisions is of an earlier era than the second. */
  public static boolean isOfEarlierEra(long revision, long other) {
    return era(revision) < era(other);
  }

  /** Returns a revision as log lines name it: {@code 18}, or {@code 2.18} in era 2. */
  public static String text(long revision) {
    int era = era(revision);
    return era == 0 ? Long.toString(revision) : era + "." + count(revision);
  }
}
