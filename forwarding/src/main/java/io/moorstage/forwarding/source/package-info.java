/**
 * Calls to the configuration source: the balancer of a zone that reads it, the rate limit and the
 * back-off of its calls, and the first read of an agent that knows no node with the state.
 *
 * <p>Owns the thread that follows the source, and passes what is read to {@link
 * io.moorstage.forwarding.state.StateKeeper}.
 */
package io.moorstage.forwarding.source;
