package io.moorstage.lab.process;

import java.io.IOException;
import java.io.Writer;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a process short of processor time: suspends it in each period but for a short slice, as the
 * scheduler does with a process whose share is used up.
 */
public final class Throttle {
  /** The length of a period, in milliseconds; the scheduler's usual one for limited groups. */
  public static final int PERIOD_MS = 100;

  private Throttle() {}

  /**
   * Throttles a process until some time has passed or the process has ended, then resumes it.
   *
   * @param sliceMs the time in each period for which the process may run, in milliseconds
   * @param durationMs the time after which the process is no longer throttled, in milliseconds
   */
  public static void run(Process process, int sliceMs, int durationMs)
      throws IOException, InterruptedException {
    // One shell sends all signals, since starting a program for each would take as long as a slice.
    Process shell =
        new ProcessBuilder("sh")
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
    try (Writer signals = shell.outputWriter()) {
      try {
        while (process.isAlive() && System.nanoTime() - endNs < 0) {
          send(signals, process, "STOP");
          Thread.sleep(PERIOD_MS - sliceMs);
          send(signals, process, "CONT");
          Thread.sleep(sliceMs);
        }
      } finally {
        send(signals, process, "CONT");
      }
    }
    shell.waitFor();
  }

  private static void send(Writer signals, Process process, String name) throws IOException {
    if (process.isAlive()) {
      signals.write("kill -" + name + " " + process.pid() + "\n");
      signals.flush();
    }
  }
}
