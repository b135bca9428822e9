package io.moorstage.forwarding.settings;

import io.moorstage.core.error.Failure;
import java.util.Locale;

/**
 * A problem of a settings file.
 *
 * @param kind the kind of problem
 * @param key the key of the setting, or an empty string if the problem is not about one key
 * @param detail a description for operators, on one line
 */
public record SettingsProblem(Kind kind, String key, String detail) {

  /** The kinds of problems. */
  public enum Kind implements Failure {
    /** The file can't be read or is too large. */
    UNREADABLE,
    /** A line is not of the form {@code key: value}. */
    MALFORMED_LINE,
    /** A key is set more than once. */
    DUPLICATE_KEY,
    /** A required setting is missing. */
    MISSING,
    /** A value is of the wrong form or outside its range. */
    BAD_VALUE;

    @Override
    public String code() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }
}
