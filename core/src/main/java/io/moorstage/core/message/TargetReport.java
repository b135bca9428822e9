package io.moorstage.core.message;

import io.moorstage.core.state.TargetPhase;

/**
 * The listed state of a target, as a balancer reports it to the agent on the target's machine.
 *
 * @param revision the revision of the configuration source from which the report was made
 * @param phase the target's phase
 * @param evacuated whether the target's zone is evacuated
 * @param capacity number of requests that the target processes concurrently
 * @param startNumber identifies this start of the target; never 0
 * @param predecessorListedReady whether the source still lists as ready the previous target at the
 *     same address, which therefore ended without draining
 * @param slowStartMs duration of the target's slow start in milliseconds, as listed when it started
 *     or last turned cold; 0 if it started warm
 * @param coldStartMs how long a target of the service is cold after a start, in milliseconds; 0 if
 *     new flows are not limited meanwhile
 */
public record TargetReport(
    long revision,
    TargetPhase phase,
    boolean evacuated,
    int capacity,
    long startNumber,
    boolean predecessorListedReady,
    int slowStartMs,
    int coldStartMs) {}
