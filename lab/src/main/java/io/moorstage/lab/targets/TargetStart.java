package io.moorstage.lab.targets;

import io.moorstage.lab.edge.StoreJson;
import io.moorstage.lab.edge.TargetEntry;
import io.moorstage.lab.process.Ports;
import java.util.Random;

/**
 * Describes one start of a target.
 *
 * @param id unique among all starts, or only among targets if starts have a start time
 * @param service the target's service
 * @param address address of the target's machine
 * @param zone the target's zone
 * @param slots how many requests the target announces to run concurrently
 * @param sequence sequence number of the target's acceptances, by which clients identify the start;
 *     its responses have the next number
 * @param startedAtMs the start time in Unix milliseconds; 0 if the start does not announce it
 */
public record TargetStart(
    String id,
    String service,
    String address,
    String zone,
    int slots,
    int sequence,
    long startedAtMs) {
  /** Keeps sequence numbers positive, so that the next number does not overflow. */
  private static final int SEQUENCE_BOUND = 1 << 28;

  /** Creates a start that does not announce its start time. */
  public TargetStart(
      String id, String service, String address, String zone, int slots, int sequence) {
    this(id, service, address, zone, slots, sequence, 0);
  }

  /** Returns a start whose sequence number is derived from its id. */
  public static TargetStart of(String id, String service, String address, String zone, int slots) {
    return new TargetStart(id, service, address, zone, slots, sequenceOf(id.hashCode()));
  }

  private static int sequenceOf(long seed) {
    return new Random(seed).nextInt(SEQUENCE_BOUND) + 1;
  }

  /**
   * Returns a copy that announces its start time, with a sequence number derived from id and time.
   */
  public TargetStart at(long atMs) {
    // The id's hash is shifted into the upper bits, so that adjacent ids and start times do not
    // give
    // the same seed.
    long seed = (long) id.hashCode() << Integer.SIZE ^ atMs;
    return new TargetStart(id, service, address, zone, slots, sequenceOf(seed), atMs);
  }

  /** Returns the value that this target writes to its entry in the store at its start. */
  public String entry() {
    return entry(false, 1);
  }

  /** Returns the value that this target writes to its entry later. */
  public String laterEntry(boolean draining) {
    return entry(draining, 2);
  }

  private String entry(boolean draining, int write) {
    return StoreJson.target(
        new TargetEntry(service, address, Ports.APP, zone, slots, startedAtMs), draining, write);
  }
}
