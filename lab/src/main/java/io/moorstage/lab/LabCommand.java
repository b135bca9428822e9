package io.moorstage.lab;

import io.moorstage.lab.process.NotReadyException;
import java.io.IOException;

/** A command of the lab. The parser sets its options, which are fields, before it runs. */
public interface LabCommand {
  /**
   * Runs the command to completion.
   *
   * @return the exit code of the process
   * @throws IOException if an address can't be bound, or a file can't be read or written
   * @throws NotReadyException if a program of the fleet does not become ready in time
   * @throws InterruptedException if the thread is interrupted
   */
  int run() throws IOException, NotReadyException, InterruptedException;
}
