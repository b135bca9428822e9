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
 * Reads the configuration source once for an agent that has not found a node with the state, so
 * that balancers that start later can copy the state from this agent.
 *
 * <p>After a loss of all processes, agents start before balancers. A balancer then spends less
 * processor time before it serves the first load: copying an encoded state costs it a tenth of the
 * processor time of reading the source.
 */
public final class FirstStateReader {
  /**
   * The wait before the first read, in milliseconds. A beacon to a live balancer and the beacon
   * that it sends back fit into it, and make the read unnecessary.
   */
  private static final int INITIAL_WAIT_MS = 60;

  /**
   * The range of the random delay that is added to the initial wait, in milliseconds. Of a dozen
   * agents that start together, the first one reads within some 50 ms. Balancers take half a second
   * longer to start (docs/PLATFORM.md), and once they advertise the state, the other agents do not
   * read it.
   */
  private static final int JITTER_MS = 600;

  /**
   * The first back-off after a failed read, in milliseconds. It doubles up to {@link
   * #MAX_BACKOFF_MS}, and a random delay of up to the same length is added. It is longer than that
   * of a balancer ({@link SourceBackoff}), which needs the state to forward segments, while an
   * agent only provides it to balancers.
   */
  private static final int BACKOFF_MS = 200;

  /**
   * The longest back-off after a failed read, without the random delay, in milliseconds. It is
   * below the two seconds within which expired entries are written again.
   */
  private static final int MAX_BACKOFF_MS = 1_600;

  private final StateSource source;
  private final BooleanSupplier isStateAvailable;
  private final CopyStore store;
  private final EventLog log;

  /** Stores a copy of the encoded state. */
  public interface CopyStore {
    /** Stores an encoded state if it is newer than the stored one; returns whether it is. */
    boolean storeIfNewer(byte[] encoded);
  }

  /**
   * Creates a reader.
   *
   * @param isStateAvailable returns whether the state, or a node that may have it, is known by now
   */
  public FirstStateReader(
      StateSource source, BooleanSupplier isStateAvailable, CopyStore store, EventLog log) {
    this.source = source;
    this.isStateAvailable = isStateAvailable;
    this.store = store;
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
      Thread.sleep(INITIAL_WAIT_MS + ThreadLocalRandom.current().nextInt(JITTER_MS));
      while (!isStateAvailable.getAsBoolean() && !readAndStore()) {
        Thread.sleep(backoffMs + ThreadLocalRandom.current().nextInt(backoffMs));
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean readAndStore() {
    try {
      FleetState state = source.readAll();
      // A state without a configuration is of no use to balancers.
      boolean isConfigured = state.configuration().version() > 0;
      if (isConfigured && store.storeIfNewer(FleetStateCodec.encode(state))) {
        log.event("state-from-source", "revision", Revision.text(state.revision()));
      }
      return isConfigured;
    } catch (StateSourceException e) {
      log.event("first-state-failed", "failure", e.failure().code(), "detail", e.getMessage());
      return false;
    }
  }
}
