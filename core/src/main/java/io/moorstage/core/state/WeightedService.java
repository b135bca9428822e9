package io.moorstage.core.state;

/**
 * A service that gets a share of a route's new flows.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route, 0 or more; a service of weight 0
 *     beside others gets no new flow, but may hold open ones
 */
public record WeightedService(String service, int weight) {}
