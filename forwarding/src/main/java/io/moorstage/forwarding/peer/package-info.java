/**
 * Messages between balancers and agents, and the nodes that they go to: the messages with their
 * codec and sender, beacons and the selection of their recipients, the directory of balancers, and
 * batched queries for flows.
 *
 * <p>Owns the directory of other balancers, and the times without a beacon after which a node
 * counts as unavailable ({@link io.moorstage.forwarding.peer.BalancerBeacons}). Module core decides
 * what a message means for a flow.
 */
package io.moorstage.forwarding.peer;
