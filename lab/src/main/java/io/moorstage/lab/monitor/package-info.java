/**
 * The rules that a fleet must keep under faults, checked by what clients, targets and the operator
 * observe.
 *
 * <p>Owns the rules and the list of breaches. Relies on the stand-ins, which report their events
 * here. It does not query balancers or agents, because wrong state in them could then hide the
 * breach that it caused.
 */
package io.moorstage.lab.monitor;
