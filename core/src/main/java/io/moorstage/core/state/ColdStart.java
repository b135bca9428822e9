package io.moorstage.core.state;

/**
 * The limit on new flows to a service's targets after a start, or after an evacuation of their
 * zone.
 *
 * @param durationMs how long a target is cold, in milliseconds
 * @param openingsPerS the most new flows that a cold target gets in a second; 0 for no limit
 */
public record ColdStart(int durationMs, int openingsPerS) {
  public static final ColdStart UNLIMITED = new ColdStart(0, 0);
}
