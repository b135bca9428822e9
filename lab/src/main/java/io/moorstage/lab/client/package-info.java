/**
 * Stand-ins for the platform's clients: flows with the timers of the platform's documentation, each
 * of one or more requests.
 *
 * <p>Owns the flows, the clients' socket and the numbers of requests. {@code Traffic} defines the
 * load, and {@code ClientListener} evaluates the events. The router selects the balancer of a flow,
 * and the sequence numbers of targets identify the one that has accepted it.
 */
package io.moorstage.lab.client;
