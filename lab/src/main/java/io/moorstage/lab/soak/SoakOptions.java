package io.moorstage.lab.soak;

/**
 * What a soak does beside the faults that all have; each is off unless it is asked for, so that a
 * seed plays the same faults as ever.
 *
 * @param routeMoves a route moves to another service at each second fault
 * @param storeRestores the store comes back from a copy of itself that is some faults old, at each
 *     third fault and after the last one; targets start again under the id that they had
 */
public record SoakOptions(boolean routeMoves, boolean storeRestores) {
  /** Just the faults that all soaks have. */
  public static final SoakOptions PLAIN = new SoakOptions(false, false);
}
