package io.moorstage.node.command;

import io.moorstage.node.daemon.Daemon;
import io.moorstage.node.settings.Role;
import java.time.Duration;
import java.util.List;

/** A balancer process whose daemon only says when it is stopped. */
public final class StoppableDaemonMain {
  static final String STOPPED = "stopped with grace of seconds: ";
  static final String STARTING = "starting";
  private static final int START_PAUSE_MS = 500;

  private StoppableDaemonMain() {}

  public static void main(String[] arguments) {
    DaemonFactory factory = (settings, registry) -> new SilentDaemon();
    Moorstage moorstage = new Moorstage(List.of(new DaemonCommand(Role.BALANCER, factory)));
    Console console = new Console(System.out, System.err);
    System.exit(moorstage.execute(arguments, console).number());
  }

  private static final class SilentDaemon implements Daemon {
    @Override
    public void start() {
      // Nothing to bind. The pause leaves time for a signal during the start.
      System.out.println(STARTING);
      try {
        Thread.sleep(START_PAUSE_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void stop(Duration grace) {
      System.out.println(STOPPED + grace.toSeconds());
    }
  }
}
