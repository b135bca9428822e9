package io.moorstage.core.state;

/**
 * The evacuation of a zone, as listed by the configuration source. While it is in force, the zone's
 * targets get no new flow.
 *
 * @param zone name of the zone
 * @param inForce whether the evacuation is in force; false once it has been lifted
 * @param revision the source's {@link Revision} of this change
 */
public record ZoneEvacuation(String zone, boolean inForce, long revision) {}
