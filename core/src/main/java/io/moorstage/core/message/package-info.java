/**
 * The contents of messages between balancers and agents: reports on targets and agents, the
 * parameters of forwarded segments, and the responses to queries for flows.
 *
 * <p>Holds no mutable state. Module forwarding encodes these messages and sends them.
 */
package io.moorstage.core.message;
