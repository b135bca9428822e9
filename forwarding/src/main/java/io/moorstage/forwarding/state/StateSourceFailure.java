package io.moorstage.forwarding.state;

import io.moorstage.core.error.Failure;
import java.util.Locale;

/** Reasons why the configuration source, or a peer, did not return a usable state. */
public enum StateSourceFailure implements Failure {
  /** The connection failed, or there was no response within the time-out. */
  UNREACHABLE,
  /** The request was rejected with an error status and was not carried out. */
  REFUSED,
  /** The source no longer holds the changes since the requested revision. */
  HISTORY_GONE,
  /**
   * The source was restored from an older copy and has entered a later era; the complete state must
   * be read again.
   */
  ERA_CHANGED,
  /** The response is of an earlier era of the source than the era that is known. */
  OUTDATED,
  /** The response is truncated, malformed or too large. */
  MALFORMED;

  @Override
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
