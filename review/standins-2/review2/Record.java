package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, in milliseconds since the start of the run. */
final class Record implements AutoCloseable {
  private final long startNs = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  double nowMs() {
    return (System.nanoTime() - startNs) / 1e6;
  }

  synchronized void line(String who, String what) {
    out.printf("%10.1f  %-12s %s%n", nowMs(), who, what);
  }

  @Override
  public void close() {
    out.close();
  }
}
