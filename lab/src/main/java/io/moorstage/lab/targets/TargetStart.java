package io.moorstage.lab.targets;

import io.moorstage.lab.edge.StoreJson;
import io.moorstage.lab.edge.TargetEntry;
import io.moorstage.lab.process.Ports;
import java.util.Random;

/**
 * One start of a target.
 *
 * @param id a name that no other start has, unless starts say when they began
 * @param service its service
 * @param address its machine's address
 * @param zone its zone
 * @param slots how many requests it says that it works on at a time
 * @param sequence names this start in what clients see: the number that follows in its answers
 * @param startedAtMs when it began, in Unix milliseconds; 0 if it does not say so
 */
public record TargetStart(
    String id,
    String service,
    String address,
    String zone,
    int slots,
    int sequence,
    long startedAtMs) {
  /** Keeps sequences positive, so that the next number never wraps. */
  private static final int SEQUENCE_BOUND = 1 << 28;

  /** Creates a start that does not say when it began. */
  public TargetStart(
      String id, String service, String address, String zone, int slots, int sequence) {
    this(id, service, address, zone, slots, sequence, 0);
  }

  /** Returns a start whose sequence follows from its id. */
  public static TargetStart of(String id, String service, String address, String zone, int slots) {
    return new TargetStart(id, service, address, zone, slots, sequenceOf(id.hashCode()));
  }

  private static int sequenceOf(long seed) {
    return new Random(seed).nextInt(SEQUENCE_BOUND) + 1;
  }

  /**
   * Returns this start as one that says when it began, and with a sequence that follows from it.
   */
  public TargetStart at(long atMs) {
    // The id in bits of its own: ids and times that lie side by side would give one sequence.
    long seed = (long) id.hashCode() << Integer.SIZE ^ atMs;
    return new TargetStart(id, service, address, zone, slots, sequenceOf(seed), atMs);
  }

  /** Returns the entry by which the store lists this target. */
  public String entry(boolean draining) {
    return StoreJson.target(
        new TargetEntry(service, address, Ports.APP, zone, slots, startedAtMs), draining);
  }
}
