package io.moorstage.forwarding.state;

import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.StateChanges;

/**
 * Where configuration and targets come from: a service that can only be read. Its acknowledgement
 * of a configuration is the acceptance.
 */
public interface StateSource {

  /**
   * Reads everything.
   *
   * @throws StateSourceException if the source gives no usable answer
   */
  FleetState readAll() throws StateSourceException;

  /**
   * Waits for changes.
   *
   * @param afterRevision the {@link io.moorstage.core.state.Revision} up to which all changes are
   *     known
   * @param waitMs how long to wait for a change, in milliseconds
   * @return the changes, none if there were none in that time
   * @throws StateSourceException if the source gives no usable answer, or no longer knows the
   *     changes since that revision, or is in another era
   */
  StateChanges awaitChanges(long afterRevision, int waitMs) throws StateSourceException;

  /** Returns how many items were left out so far, since they could not be read. */
  long unusableItems();

  /** Returns how many answers so far named no era, or none that could be read. */
  long answersWithoutEra();
}
