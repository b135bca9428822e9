package io.moorstage.forwarding.settings;

import io.moorstage.core.error.MoorstageException;
import java.util.List;

/** Thrown when a settings file is rejected. Contains all problems of the file. */
public final class ForwardingSettingsException extends MoorstageException {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingsProblem> problems;

  /**
   * Creates an exception whose failure is that of the first problem.
   *
   * @param problems at least one problem
   */
  public ForwardingSettingsException(List<SettingsProblem> problems) {
    super(problems.get(0).kind(), "settings rejected, problems found: " + problems.size());
    this.problems = List.copyOf(problems);
  }

  /** Returns all problems in the order in which they were found. */
  public List<SettingsProblem> problems() {
    return problems;
  }
}
