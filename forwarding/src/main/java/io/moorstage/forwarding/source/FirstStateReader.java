package io.moorstage.forwarding.source;

import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.Revision;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.state.FleetStateCodec;
import io.moorstage.forwarding.state.StateSource;
import io.moorstage.forwarding.state.StateSourceException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;

/**
 * Reads the configuration source once for an agent that hears nobody who knows the state, so that
 * balancers that start later take it over from there.
 *
 * <p>After all processes were lost, agents are up before balancers, which take the first load on
 * less processor time; a state in its compact form costs them a tenth of reading the source.
 */
public final class FirstStateReader {
  /**
   * Leaves time for the answer of a balancer that lives, which makes a reading needless. Not
   * measured; chosen so that a beacon and its answer fit into it.
   */
  private static final int FIRST_WAIT_MS = 60;

  /**
   * Spreads the readings of agents that start together. The first of a dozen comes within some 50
   * ms; balancers take half a second longer to start (docs/PLATFORM.md), and what they advertise
   * spares the others the reading.
   */
  private static final int SPREAD_MS = 600;

  /**
   * The shortest pause after a failed reading; it doubles up to {@link #MAX_BACKOFF_MS}, and as
   * much again is added at random. Not measured; chosen longer than that of a balancer ({@link
   * SourceBackoff}), which needs the state to forward, while an agent only hands it on.
   */
  private static final int BACKOFF_MS = 200;

  /**
   * The longest pause after a failed reading, before what is added at random, in milliseconds. Not
   * measured; chosen below the two seconds within which lapsed entries are back.
   */
  private static final int MAX_BACKOFF_MS = 1_600;

  private final StateSource source;
  private final BooleanSupplier isNeedless;
  private final CopyTaker taker;
  private final EventLog log;

  /** Takes an encoded state. */
  public interface CopyTaker {
    /** Takes a state; returns whether it is newer than the one that was known. */
    boolean take(byte[] encoded);
  }

  /**
   * Creates a reader.
   *
   * @param isNeedless whether the state, or a balancer that has it, is known by now
   */
  public FirstStateReader(
      StateSource source, BooleanSupplier isNeedless, CopyTaker taker, EventLog log) {
    this.source = source;
    this.isNeedless = isNeedless;
    this.taker = taker;
    this.log = log;
  }

  public void start() {
    Thread thread = new Thread(this::read, "first-state");
    thread.setDaemon(true);
    thread.start();
  }

  private void read() {
    try {
      int backoffMs = BACKOFF_MS;
      Thread.sleep(FIRST_WAIT_MS + ThreadLocalRandom.current().nextInt(SPREAD_MS));
      while (!isNeedless.getAsBoolean() && !readOnce()) {
        Thread.sleep(backoffMs + ThreadLocalRandom.current().nextInt(backoffMs));
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean readOnce() {
    try {
      FleetState state = source.readAll();
      // Before anything is configured there is nothing to hand on.
      boolean usable = state.configuration().version() > 0;
      if (usable && taker.take(FleetStateCodec.encode(state))) {
        log.event("state-from-source", "revision", Revision.text(state.revision()));
      }
      return usable;
    } catch (StateSourceException e) {
      log.event("first-state-failed", "failure", e.failure().code(), "detail", e.getMessage());
      return false;
    }
  }
}
