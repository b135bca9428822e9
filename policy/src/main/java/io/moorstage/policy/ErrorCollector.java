package io.moorstage.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import javax.annotation.Nullable;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;

/** Collects errors up to a limit, so that compiling a malformed text stops early. */
final class ErrorCollector {
  static final int MAX_ERRORS = 100;

  private final List<PolicyError> errors = new ArrayList<>();

  /** Adds an error at a token. */
  void add(Token token, PolicyFailure failure, String detail) {
    add(token, failure, detail, null);
  }

  /** Adds an error at a token, with the nearest allowed name as a suggestion. */
  void add(Token token, PolicyFailure failure, String detail, @Nullable String suggestion) {
    add(token.getLine(), token.getCharPositionInLine() + 1, failure, detail, suggestion);
  }

  /**
   * Adds an error.
   *
   * @throws ParseCancellationException if the list is full; {@link PolicyFailure#TOO_MANY_ERRORS}
   *     is added to it first
   */
  void add(
      int line, int column, PolicyFailure failure, String detail, @Nullable String suggestion) {
    if (errors.size() == MAX_ERRORS) {
      errors.add(
          new PolicyError(
              line,
              column,
              PolicyFailure.TOO_MANY_ERRORS,
              "too many errors; further errors are not listed",
              null));
      throw new ParseCancellationException();
    }
    errors.add(new PolicyError(line, column, failure, detail, suggestion));
  }

  /**
   * Throws the collected errors, sorted by position, if there are any.
   *
   * @throws PolicyException with the collected errors
   */
  void throwIfAny() throws PolicyException {
    if (errors.isEmpty()) {
      return;
    }
    errors.sort(Comparator.comparingInt(PolicyError::line).thenComparingInt(PolicyError::column));
    throw new PolicyException(errors);
  }
}
