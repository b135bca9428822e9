package io.moorstage.core.state;

/**
 * What the configuration source lists of the evacuation of a zone: while it is in force, the zone's
 * targets get no new flow.
 *
 * @param zone name of the zone
 * @param inForce whether the evacuation is in force; false once it has been lifted
 * @param revision the source's {@link Revision} of this change
 */
public record ZoneEvacuation(String zone, boolean inForce, long revision) {}
