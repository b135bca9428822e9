package io.moorstage.policy;

import java.util.Optional;
import javax.annotation.Nullable;

/** An error in a policy text, with its position. */
public final class PolicyError {
  private final int line;
  private final int column;
  private final PolicyFailure failure;
  private final String detail;
  @Nullable private final String suggestion;

  PolicyError(
      int line, int column, PolicyFailure failure, String detail, @Nullable String suggestion) {
    this.line = line;
    this.column = column;
    this.failure = failure;
    this.detail = detail;
    this.suggestion = suggestion;
  }

  /** Returns the line, counted from 1. */
  public int line() {
    return line;
  }

  /** Returns the column, counted from 1. */
  public int column() {
    return column;
  }

  /** Returns the kind of the error. */
  public PolicyFailure failure() {
    return failure;
  }

  /** Returns a one-line description of the error for users. */
  public String detail() {
    return detail;
  }

  /**
   * Returns the nearest name or keyword that is allowed at this position, if one is near enough.
   */
  public Optional<String> suggestion() {
    return Optional.ofNullable(suggestion);
  }

  @Override
  public String toString() {
    String hint = suggestion == null ? "" : "; did you mean '" + suggestion + "'?";
    return line + ":" + column + ": " + failure.code() + ": " + detail + hint;
  }
}
