package io.moorstage.forwarding.state;

import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.StateChanges;

/**
 * The source of the configuration and the list of targets: a service that can only be read. A
 * configuration is accepted once the source has acknowledged it.
 */
public interface StateSource {

  /**
   * Reads the complete state.
   *
   * @throws StateSourceException if the source does not return a usable response
   */
  FleetState readAll() throws StateSourceException;

  /**
   * Waits for changes after a revision and returns them.
   *
   * @param afterRevision the {@link io.moorstage.core.state.Revision} up to which the caller's
   *     state is complete
   * @param waitMs how long to wait for a change, in milliseconds
   * @return the changes; empty if there were none in that time
   * @throws StateSourceException if the source does not return a usable response, no longer holds
   *     the changes since that revision, or is in another era
   */
  StateChanges awaitChanges(long afterRevision, int waitMs) throws StateSourceException;

  /** Returns the number of items skipped so far because they could not be read. */
  long unusableItems();

  /** Returns the number of responses so far whose era was missing or could not be read. */
  long responsesWithoutEra();
}
