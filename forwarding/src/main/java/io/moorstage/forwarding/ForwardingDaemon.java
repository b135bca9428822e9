package io.moorstage.forwarding;

import java.io.IOException;

/** A daemon that a launcher starts, reloads and stops. */
public interface ForwardingDaemon {

  /**
   * Binds all ports and starts all threads.
   *
   * @throws IOException if a port can't be bound
   */
  void start() throws IOException;

  /** Serves until {@link #stop()} has finished its work. */
  void run() throws InterruptedException;

  /** Begins a planned stop; returns at once. */
  void stop();

  /** Takes settings that may have changed. */
  void reload(ForwardingSettings newer);
}
