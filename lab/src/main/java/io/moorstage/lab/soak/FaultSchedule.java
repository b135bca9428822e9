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

/** Runs the steps of faults, at once or after a delay, and logs each with its time. */
final class FaultSchedule implements AutoCloseable {
  /**
   * Enough for steps that wait for a process, or that throttle one, not to delay other steps. A
   * soak has nine processes.
   */
  private static final int THREADS = 20;

  private final Path log;
  private final RuleMonitor monitor;
  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS);

  /** A step that may fail; a failure is recorded as a failure of the harness. */
  interface Step {
    void run() throws IOException, InterruptedException;
  }

  FaultSchedule(Path log, RuleMonitor monitor) {
    this.log = log;
    this.monitor = monitor;
  }

  /** Logs a step and runs it at once. */
  void runNow(String description, Step step) throws IOException, InterruptedException {
    String line = System.currentTimeMillis() + " " + description + "\n";
    Files.writeString(log, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    step.run();
  }

  /** Schedules a step that ends a fault. */
  void runLater(int delayMs, String description, Step step) {
    // The result is not awaited because runRecovery() records every failure itself.
    ScheduledFuture<?> unused =
        executor.schedule(() -> runRecovery(description, step), delayMs, TimeUnit.MILLISECONDS);
  }

  private void runRecovery(String description, Step step) {
    try {
      runNow(description, step);
      monitor.recordFault(System.currentTimeMillis());
    } catch (InterruptedException e) {
      // The soak has ended and cancels the pending steps.
      Thread.currentThread().interrupt();
    } catch (IOException | RuntimeException e) {
      monitor.recordBreach(Rule.HARNESS, description + ": " + e);
    }
  }

  /** Cancels the pending steps. */
  @Override
  public void close() {
    executor.shutdownNow();
  }
}
