package io.moorstage.lab;

import java.util.Locale;

/** Thrown if the lab's command line is invalid. */
public final class UsageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The kind of error in a command line. */
  public enum Kind {
    /** No command is named. */
    NO_COMMAND,
    /** There is no such command. */
    UNKNOWN_COMMAND,
    /** The command has no such option. */
    UNKNOWN_OPTION,
    /** A required option or argument is missing, or an option has an invalid value. */
    BAD_OPTION;

    /** Returns the name that messages contain. */
    public String code() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  private final Kind kind;

  /**
   * Creates an exception.
   *
   * @param detail the argument or the parser's message that describes the error
   */
  public UsageException(Kind kind, String detail) {
    super(detail);
    this.kind = kind;
  }

  public Kind kind() {
    return kind;
  }
}
