package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, with milliseconds since the start. */
final class Record implements AutoCloseable {
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

  @Override
  public synchronized void close() {
    out.close();
  }
}
