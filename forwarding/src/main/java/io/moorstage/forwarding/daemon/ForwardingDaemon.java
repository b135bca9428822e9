package io.moorstage.forwarding.daemon;

import io.moorstage.forwarding.settings.ForwardingSettings;
import java.io.IOException;

/** A daemon that a launcher starts, reloads and stops. */
public interface ForwardingDaemon {

  /**
   * Binds the ports of the data path and starts its threads.
   *
   * @throws IOException if a port can't be bound
   */
  void start() throws IOException;

  /**
   * Runs the daemon until the stop that {@link #stop()} has started is complete. The HTTP ports are
   * bound during the run, after the ports of the data path.
   *
   * @throws IOException if the readiness port or the state port can't be bound
   */
  void run() throws InterruptedException, IOException;

  /** Starts a planned stop without waiting for its end. */
  void stop();

  /** Applies the seeds of reloaded settings. */
  void reload(ForwardingSettings newSettings);
}
