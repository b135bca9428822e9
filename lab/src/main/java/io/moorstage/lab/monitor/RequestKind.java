package io.moorstage.lab.monitor;

/**
 * A kind of request whose load is watched.
 *
 * @param service the service that serves it
 * @param priority its priority, of which 0 is the highest
 * @param objectiveMs its latency objective, in milliseconds from the first attempt
 */
public record RequestKind(String service, int priority, int objectiveMs) {}
