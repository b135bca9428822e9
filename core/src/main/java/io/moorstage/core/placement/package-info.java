/**
 * Placement of new flows: the targets of a service, what this balancer knows of each, and the
 * choice among them.
 *
 * <p>This package holds what the balancer has observed of each target (load, failed openings, slow
 * start). The records of targets come from the state. Nothing here is shared with other nodes.
 */
package io.moorstage.core.placement;
