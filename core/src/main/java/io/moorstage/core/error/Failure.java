package io.moorstage.core.error;

/**
 * A kind of failure. Each module declares its own kinds as an enum that implements this interface,
 * so that logs, metrics and exit codes do not depend on message texts.
 */
public interface Failure {

  /** Returns the stable identifier used in logs and metrics, for example {@code unreachable}. */
  String code();
}
