package io.moorstage.forwarding.state;

import io.moorstage.core.error.MoorstageException;

/** Thrown if the configuration source, or a peer, does not return a usable state. */
public final class StateSourceException extends MoorstageException {
  private static final long serialVersionUID = 1L;

  public StateSourceException(StateSourceFailure failure, String detail) {
    super(failure, detail);
  }

  public StateSourceException(StateSourceFailure failure, String detail, Throwable cause) {
    super(failure, detail, cause);
  }
}
