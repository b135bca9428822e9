/**
 * Forwarding of transparent flows: balancer and agent steer a connection's segments between client
 * and target without understanding what the connection carries.
 *
 * <p>The classes here decide and keep state; they own no thread, socket or clock. Times are
 * milliseconds of a monotonic clock that the caller gives. The target is the authority on which
 * flows it holds: it returns a segment of a flow that it does not hold, and everything that a
 * balancer or agent remembers is only a hint that such a return corrects.
 */
package io.moorstage.core.transparent;
