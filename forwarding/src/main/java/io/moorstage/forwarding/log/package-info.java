/**
 * The event log: one line of key=value pairs for each event, limited in lines per second. Logging
 * never blocks the caller.
 *
 * <p>Owns the queue of lines and the thread that writes them.
 */
package io.moorstage.forwarding.log;
