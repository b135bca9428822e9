package io.moorstage.policy;

import io.moorstage.core.error.MoorstageException;
import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a policy is rejected; contains all errors found, sorted by position. */
public final class PolicyException extends MoorstageException {
  private static final long serialVersionUID = 1L;

  private final transient List<PolicyError> errors;

  /**
   * Creates an exception.
   *
   * @param errors the errors, at least one; the exception has the failure of the first one
   */
  PolicyException(List<PolicyError> errors) {
    super(errors.get(0).failure(), describe(errors));
    this.errors = List.copyOf(errors);
  }

  /** Returns all errors, sorted by position. */
  public List<PolicyError> errors() {
    return errors;
  }

  private static String describe(List<PolicyError> errors) {
    return errors.stream().map(PolicyError::toString).collect(Collectors.joining("\n"));
  }
}
