package io.moorstage.core.transparent;

/**
 * One start of a target, as the configuration source tells.
 *
 * @param id names this start of the target; another start has another id
 * @param service name of the service
 * @param address IPv4 address of the machine, where the target's agent runs too
 * @param zone name of the zone
 * @param capacity requests that it works on at a time, 1 or more
 * @param phase how far it is in its life
 * @param slowStartMs for how long after its start it is slow, in milliseconds
 * @param revision the source's revision of this record
 */
public record TargetRecord(
    String id,
    String service,
    int address,
    String zone,
    int capacity,
    TargetPhase phase,
    int slowStartMs,
    long revision) {

  /** Returns this record as of a later revision at which the source no longer lists it. */
  public TargetRecord gone(long atRevision) {
    return new TargetRecord(
        id, service, address, zone, capacity, TargetPhase.GONE, slowStartMs, atRevision);
  }
}
