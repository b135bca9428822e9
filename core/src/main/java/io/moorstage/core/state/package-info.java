/**
 * The state that is replicated to all nodes: the configuration, the targets and the evacuations of
 * zones, each at a revision of the source.
 *
 * <p>Each record of a state is replaced only by a newer one, whether the source or a peer reports
 * it, so two nodes converge once they have exchanged their states. The types are immutable; the
 * daemon holds the current state.
 */
package io.moorstage.core.state;
