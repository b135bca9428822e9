package io.moorstage.forwarding.state;

import io.moorstage.core.error.Failure;
import java.util.Locale;

/** Why a state source gave no usable answer. */
public enum StateSourceFailure implements Failure {
  /** No connection, or no answer in time. */
  UNREACHABLE,
  /** The source refused the call; nothing was done. */
  REFUSED,
  /** The source no longer knows the changes since the revision asked for. */
  HISTORY_GONE,
  /** The source has come back from an older copy since it was followed: all must be read anew. */
  ERA_CHANGED,
  /** The answer is of an earlier era of the source than the one that is known. */
  OUTDATED,
  /** The answer is cut off, malformed or too large. */
  MALFORMED;

  @Override
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
