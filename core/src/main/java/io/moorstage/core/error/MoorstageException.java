package io.moorstage.core.error;

/** Base class of the checked exceptions of moorstage; its {@link Failure} classifies the error. */
public abstract class MoorstageException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient Failure failure;

  /**
   * Creates an exception.
   *
   * @param failure the kind of failure
   * @param detail one line for operators: what failed, where, and what was expected
   */
  protected MoorstageException(Failure failure, String detail) {
    super(detail);
    this.failure = failure;
  }

  /**
   * Creates an exception with a cause.
   *
   * @param failure the kind of failure
   * @param detail one line for operators: what failed, where, and what was expected
   * @param cause the exception that caused this one
   */
  protected MoorstageException(Failure failure, String detail, Throwable cause) {
    super(detail, cause);
    this.failure = failure;
  }

  /** Returns the kind of failure. */
  public final Failure failure() {
    return failure;
  }
}
