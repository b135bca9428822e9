package io.moorstage.lab.client;

import io.moorstage.lab.edge.Packets;

/**
 * Describes a flow to open.
 *
 * @param service destination address and port
 * @param requests how many requests the flow carries, one after the other
 * @param retries how often the client opens a new flow for a request that has not run
 * @param firstAttemptMs when the first request was first attempted, in milliseconds since the
 *     epoch; 0 if it has not been
 * @param firstNumber the number of the first request, the same for all its attempts; 0 if none
 */
public record FlowPlan(
    Packets.End service, int requests, int retries, long firstAttemptMs, long firstNumber) {

  /** Creates a plan of a first attempt without retries. */
  public FlowPlan(Packets.End service, int requests) {
    this(service, requests, 0, 0, 0);
  }

  /** Creates a plan of a first attempt that clients retry. */
  public FlowPlan(Packets.End service, int requests, int retries) {
    this(service, requests, retries, 0, 0);
  }

  /** Returns a copy that is first attempted at a time, with the number of its first request. */
  FlowPlan firstAttempt(long atMs, long number) {
    return new FlowPlan(service, requests, retries, atMs, number);
  }
}
