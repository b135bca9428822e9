package io.moorstage.lab;

/** Exit codes of the lab. */
public final class ExitCode {
  /** The command completed and found no violations. */
  public static final int DONE = 0;

  /** The command failed, or found a violation. */
  public static final int FAILED = 1;

  /** The command line is invalid. */
  public static final int USAGE = 2;

  private ExitCode() {}
}
