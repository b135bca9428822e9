/**
 * The balancer's logic: placing new flows, forwarding the segments of open flows, and locating
 * flows whose target is unknown.
 *
 * <p>The classes of this package decide and keep state, but own no thread, socket or clock. Times
 * are milliseconds of a monotonic clock and are passed in by the caller. The flow table and the
 * agent directory are guarded by the lock of {@link io.moorstage.core.balancer.FlowBalancer}. The
 * target is authoritative for the flows that it holds: it returns a segment of a flow that it does
 * not hold to its agent. The agent gives the segment back to the balancer, which corrects the flow
 * table: the table is only a hint.
 *
 * <p>{@link io.moorstage.core.balancer.FlowBalancer} is the entry point for all events. {@link
 * io.moorstage.core.balancer.FlowOpener} handles openings with {@link
 * io.moorstage.core.balancer.UnlistedTargets}, {@link io.moorstage.core.balancer.OpeningRetries}
 * and {@link io.moorstage.core.balancer.WaitingOpenings}. {@link
 * io.moorstage.core.balancer.FlowLocator} advances searches with {@link
 * io.moorstage.core.balancer.PossibleHolders}, {@link io.moorstage.core.balancer.SearchQueries},
 * {@link io.moorstage.core.balancer.SearchOffers} and {@link
 * io.moorstage.core.balancer.SearchVerdict}. {@link io.moorstage.core.balancer.BalancerFlow} holds
 * the state of a flow, and {@link io.moorstage.core.balancer.Search} the state of a search.
 */
package io.moorstage.core.balancer;
