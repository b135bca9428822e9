/**
 * This node's copy of the fleet state: the interface of the configuration source, the keeper of the
 * newest state, the encoding in which nodes send it to each other, and the queries to peers.
 *
 * <p>Owns the current {@link io.moorstage.core.state.FleetState} of the process. An adapter for the
 * configuration source implements {@link io.moorstage.forwarding.state.StateSource}.
 */
package io.moorstage.forwarding.state;
