package io.moorstage.core.state;

/**
 * A revision of the configuration source, encoded as one number that only increases.
 *
 * <p>The source counts its changes. When it is restored from an older copy of itself, it assigns
 * some counts again and enters the next era. So the era is in the high bits, above the count: a
 * change in a later era is newer, whatever its count. A source without eras is in era 0, where a
 * revision equals its count.
 */
public final class Revision {
  private static final int COUNT_BITS = 47;

  /** The largest count, enough for ten million changes a second for a hundred days. */
  public static final long MAX_COUNT = (1L << COUNT_BITS) - 1;

  /** The largest era for which a revision is not negative. */
  public static final int MAX_ERA = (1 << Long.SIZE - 1 - COUNT_BITS) - 1;

  private Revision() {}

  /**
   * Returns the revision of a count in an era.
   *
   * @throws IllegalArgumentException if the era is not from 0 to {@link #MAX_ERA}, or the count is
   *     not from 0 to {@link #MAX_COUNT}
   */
  public static long of(int era, long count) {
    if (era < 0 || era > MAX_ERA || count < 0 || count > MAX_COUNT) {
      throw new IllegalArgumentException("revision out of range: era " + era + ", count " + count);
    }
    return (long) era << COUNT_BITS | count;
  }

  /** Returns the era of a revision. */
  public static int era(long revision) {
    return (int) (revision >>> COUNT_BITS);
  }

  /** Returns the source's count of changes in the era of a revision. */
  public static long count(long revision) {
    return revision & MAX_COUNT;
  }

  /** Returns whether a revision is of an earlier era than another one. */
  public static boolean isOfEarlierEra(long revision, long other) {
    return era(revision) < era(other);
  }

  /** Returns the text of a revision in log lines: {@code 18}, or {@code 2.18} in era 2. */
  public static String text(long revision) {
    int era = era(revision);
    return era == 0 ? Long.toString(revision) : era + "." + count(revision);
  }
}
