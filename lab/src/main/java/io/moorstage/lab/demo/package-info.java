/**
 * The demonstration: runs a deployment on loopback under load, kills a balancer and drains a
 * target.
 *
 * <p>Owns the sequence of events and the final table. Relies on the stand-ins, and on the monitor
 * for the rules that are checked.
 */
package io.moorstage.lab.demo;
