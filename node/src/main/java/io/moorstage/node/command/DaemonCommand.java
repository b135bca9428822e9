package io.moorstage.node.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.moorstage.core.error.MoorstageException;
import io.moorstage.node.daemon.StartException;
import io.moorstage.node.logging.EventLog;
import io.moorstage.node.logging.LogEvent;
import io.moorstage.node.settings.AgentSettings;
import io.moorstage.node.settings.BalancerSettings;
import io.moorstage.node.settings.NodeSettings;
import io.moorstage.node.settings.Role;
import io.moorstage.node.settings.Settings;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

/** {@code moorstage balancer} and {@code moorstage agent}: runs a daemon until SIGTERM. */
@Parameters(commandDescription = "Run this daemon until SIGTERM, which is a planned stop")
final class DaemonCommand implements Command {
  private final Role role;
  private final DaemonFactory factory;

  @ParametersDelegate private final SettingsArguments arguments = new SettingsArguments();

  DaemonCommand(Role role, DaemonFactory factory) {
    this.role = role;
    this.factory = factory;
  }

  @Override
  public String name() {
    return role.commandName();
  }

  @Override
  public boolean isHelpWanted() {
    return arguments.isHelpWanted();
  }

  @Override
  public String details() {
    return SettingsHelp.of(role);
  }

  @Override
  public ExitCode run(Console console) throws MoorstageException {
    Settings settings = arguments.load(role);
    CompletableFuture<RunningDaemon> started = new CompletableFuture<>();
    // Before the start, since a signal may come at any time.
    Thread stop = new Thread(() -> stopAndHalt(started), "planned-stop");
    Runtime.getRuntime().addShutdownHook(stop);
    try {
      started.complete(RunningDaemon.start(nodeSettings(settings), factory));
    } catch (StartException e) {
      EventLog.event(LogEvent.START_FAILED).failure(e).write();
      console.err().println(e.failure().code() + ": " + e.getMessage());
      return ExitCode.CANNOT_START;
    } finally {
      // Without effect after a start; otherwise the hook must not wait for one.
      started.cancel(false);
    }
    return awaitSignal();
  }

  private NodeSettings nodeSettings(Settings settings) {
    return role == Role.AGENT ? new AgentSettings(settings) : new BalancerSettings(settings);
  }

  /** Waits for SIGTERM or SIGINT; both are a planned stop, which ends the process. */
  private static ExitCode awaitSignal() {
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      // Only a stopping virtual machine interrupts the main thread.
      Thread.currentThread().interrupt();
    }
    return ExitCode.OK;
  }

  /** Stops the daemon, after its start if that is under way, and ends the process. */
  private static void stopAndHalt(CompletableFuture<RunningDaemon> started) {
    RunningDaemon daemon;
    try {
      daemon = started.join();
    } catch (CancellationException e) {
      // The start has failed: the process ends by itself, with the exit code that says so.
      return;
    }
    ExitCode exitCode = ExitCode.OK;
    try {
      daemon.stop();
    } catch (RuntimeException e) {
      EventLog.event(LogEvent.INTERNAL_ERROR).field("exception", e).write();
      exitCode = ExitCode.INTERNAL_ERROR;
    }
    // The virtual machine's own exit code would be the signal's, as if the stop had not been met.
    Runtime.getRuntime().halt(exitCode.number());
  }
}
