package io.moorstage.lab.edge;

/**
 * The entry that a target writes to the store.
 *
 * @param service name of the target's service
 * @param address IPv4 address of the target's machine
 * @param port port on which the target receives packets
 * @param zone name of the target's zone
 * @param slots number of requests that the target serves concurrently
 * @param startedAtMs start time in Unix milliseconds; 0 leaves it out, as older targets do
 */
public record TargetEntry(
    String service, String address, int port, String zone, int slots, long startedAtMs) {

  /** Creates the entry of a target that does not report its start time. */
  public TargetEntry(String service, String address, int port, String zone, int slots) {
    this(service, address, port, zone, slots, 0);
  }
}
