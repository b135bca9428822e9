/**
 * Access to sockets, clock and processor: UDP ports, small HTTP servers, the check of a target's
 * port, the monotonic clock, and the lag with which this process gets processor time.
 *
 * <p>Owns sockets and their threads. Makes no decisions about flows; of the other packages of this
 * module, it depends on the log only.
 */
package io.moorstage.forwarding.net;
