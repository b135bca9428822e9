/**
 * The fault soak: runs a small fleet of real processes, injects faults at random times, and checks
 * the rules that must hold. docs/SOAK.md lists the faults that it has found.
 *
 * <p>Owns the kinds and the order of the injected faults, which a seed determines. Relies on the
 * stand-ins for the store, the targets, the clients and the router around the fleet.
 */
package io.moorstage.lab.soak;
