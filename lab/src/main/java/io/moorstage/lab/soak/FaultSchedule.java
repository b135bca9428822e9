package io.moorstage.lab.soak;

import io.moorstage.lab.monitor.Rule;
import io.moorstage.lab.monitor.RuleMonitor;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Does the steps of faults, now or later, and writes each down with its time. */
final class FaultSchedule implements AutoCloseable {
  /** A step that waits for a process may not hold up another. */
  private static final int THREADS = 2;

  private final Path log;
  private final RuleMonitor monitor;
  private final ScheduledExecutorService later = Executors.newScheduledThreadPool(THREADS);

  /** A step that may fail; a failure is one of the harness. */
  interface Step {
    void run() throws IOException, InterruptedException;
  }

  FaultSchedule(Path log, RuleMonitor monitor) {
    this.log = log;
    this.monitor = monitor;
  }

  /** Does a step now. */
  void note(String what, Step step) throws IOException, InterruptedException {
    String line = System.currentTimeMillis() + " " + what + "\n";
    Files.writeString(log, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    step.run();
  }

  /** Does a step later, which is the end of a trouble. */
  void after(int delayMs, String what, Step step) {
    // Nobody waits for the result: end() reports every failure itself.
    ScheduledFuture<?> unused =
        later.schedule(() -> end(what, step), delayMs, TimeUnit.MILLISECONDS);
  }

  private void end(String what, Step step) {
    try {
      note(what, step);
      monitor.recordFault(System.currentTimeMillis());
    } catch (InterruptedException e) {
      // The soak is over; what is left to do is dropped with it.
      Thread.currentThread().interrupt();
    } catch (IOException | RuntimeException e) {
      monitor.recordBreach(Rule.HARNESS, what + ": " + e);
    }
  }

  /** Drops the steps that are still to come. */
  @Override
  public void close() {
    later.shutdownNow();
  }
}
