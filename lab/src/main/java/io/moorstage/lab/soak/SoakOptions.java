package io.moorstage.lab.soak;

/**
 * Faults in addition to those that every soak injects. Each is off by default, so that a seed gives
 * the same sequence of faults as in earlier versions.
 *
 * @param routeMoves whether a route moves to the other service at every second fault
 * @param storeRestores whether the store is restored from an older copy of itself at every third
 *     fault and after the last one; restarted targets then keep their ids
 * @param load whether requests take time at targets of unequal speed, the load at times exceeds
 *     what these can serve, and overload control is on
 * @param starved whether restarted processes are short of processor time for some seconds, and many
 *     flows rest for seconds between requests
 */
public record SoakOptions(
    boolean routeMoves, boolean storeRestores, boolean load, boolean starved) {
  /** Only the faults that every soak injects. */
  public static final SoakOptions PLAIN = new SoakOptions(false, false, false, false);

  /** Creates options without load and starved processes. */
  public SoakOptions(boolean routeMoves, boolean storeRestores) {
    this(routeMoves, storeRestores, false, false);
  }
}
