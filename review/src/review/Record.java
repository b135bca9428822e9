package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Writes what was sent, answered and run to a file, with milliseconds since the start, and knows which
 * packets reached their flow's target.
 */
final class Record implements AutoCloseable {
  private static final int MISROUTED_PACKETS = 3;

  /** The arrival of a packet at a target. */
  private record Arrival(long atMs, boolean isOwn) {}

  private final Map<Packet.End, List<Arrival>> packets = new ConcurrentHashMap<>();
  private final long startedNs = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long nowMs() {
    return (System.nanoTime() - startedNs) / 1_000_000;
  }

  synchronized void add(String line) {
    out.printf("%7d %s%n", nowMs(), line);
  }

  /**
   * Counts a packet after the opening that a target has got.
   *
   * @param isOwn whether the target holds the open flow
   */
  void countPacket(Packet.End client, boolean isOwn) {
    packets
        .computeIfAbsent(client, end -> new CopyOnWriteArrayList<>())
        .add(new Arrival(nowMs(), isOwn));
  }

  /**
   * Returns whether, for some time of a length that has passed, three or more packets of a flow
   * reached other targets and none its own.
   */
  boolean wasMisrouted(Packet.End client, int durationMs) {
    List<Arrival> arrivals = packets.getOrDefault(client, List.of());
    for (Arrival first : arrivals) {
      long endMs = first.atMs() + durationMs;
      List<Arrival> within =
          arrivals.stream().filter(a -> a.atMs() >= first.atMs() && a.atMs() < endMs).toList();
      if (within.size() >= MISROUTED_PACKETS
          && within.stream().noneMatch(Arrival::isOwn)
          && nowMs() >= endMs) {
        return true;
      }
    }
    return false;
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
