package io.moorstage.lab.edge;

/**
 * What a target says of itself in the store.
 *
 * @param service its service
 * @param address its machine's address
 * @param port the port at which it takes packets
 * @param zone its zone
 * @param slots how many requests it works on at a time
 * @param startedAtMs when it started, in Unix milliseconds; 0 to leave it out, as older targets do
 */
public record TargetEntry(
    String service, String address, int port, String zone, int slots, long startedAtMs) {

  /** Creates the entry of a target that does not say when it started. */
  public TargetEntry(String service, String address, int port, String zone, int slots) {
    this(service, address, port, zone, slots, 0);
  }
}
