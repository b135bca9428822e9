/**
 * The decisions of an agent on the machine of its target: which new flows the target gets, when a
 * request is delivered to it, and whether it is ejected or has ended.
 *
 * <p>The classes own the state of the target and its flows, all guarded by the single lock of
 * {@link io.moorstage.core.agent.FlowAgent}. They own no thread, socket or clock: callers pass
 * times in milliseconds of a monotonic clock. The agent has the final decision on a new flow; what
 * it rejects goes back to a balancer, which places it elsewhere.
 */
package io.moorstage.core.agent;
