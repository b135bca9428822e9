package io.moorstage.lab.process;

/** Thrown if a program does not become ready in time. */
public final class NotReadyException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param address address of the program
   * @param waitedMs how long the caller has waited, in milliseconds
   */
  public NotReadyException(String address, int waitedMs) {
    super("not ready within " + waitedMs + " ms: " + address);
  }
}
