package io.moorstage.forwarding.source;

import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.Revision;
import io.moorstage.core.state.StateChanges;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.metrics.ForwardingCounter;
import io.moorstage.forwarding.metrics.ForwardingMetrics;
import io.moorstage.forwarding.net.MonotonicClock;
import io.moorstage.forwarding.net.ProcessorLag;
import io.moorstage.forwarding.state.StateKeeper;
import io.moorstage.forwarding.state.StateSource;
import io.moorstage.forwarding.state.StateSourceException;
import io.moorstage.forwarding.state.StateSourceFailure;

/**
 * Follows the configuration source: waits for changes after the state that a peer has provided, or
 * reads the complete state if no peer has. Reads the complete state again if the source has dropped
 * the history or was restored from an older copy.
 */
public final class SourceFollower {
  /**
   * How long a call waits for a change, in milliseconds. A failure of the source may stay unnoticed
   * for this long, and one reader in each zone calls an idle source every two seconds.
   */
  public static final int WAIT_MS = 2_000;

  /** The pause after an internal error, in milliseconds. */
  private static final int INTERNAL_ERROR_PAUSE_MS = SourceBackoff.MAX_RANGE_MS;

  /**
   * How long a starting node waits for a peer's state, in milliseconds. Agents that start at the
   * same time advertise theirs every 100 ms. Copying a state costs a tenth of the processor time of
   * reading the source.
   */
  private static final int PEER_STATE_WAIT_MS = 120;

  /**
   * How long the first call after a peer's state may be delayed while this node is busy with a
   * queue of requests, in milliseconds. With it, the state is confirmed within a second of a start
   * on a busy machine.
   */
  private static final int MAX_CONFIRMATION_DELAY_MS = 700;

  /** How often a starting node checks for a peer's state, in milliseconds. */
  private static final int PEER_STATE_POLL_MS = 10;

  /**
   * How often a node that leaves reading to a peer checks whether it has to read the source itself,
   * in milliseconds; far below the time-out of a reader.
   */
  private static final int STANDBY_POLL_MS = 100;

  /**
   * How long the first call after a peer's state waits for a change, in milliseconds. It is short,
   * since the state is confirmed only when the call returns.
   */
  private static final int CONFIRMATION_WAIT_MS = 20;

  private final StateSource source;
  private final StateKeeper keeper;
  private final EventLog log;
  private final ConfirmationListener listener;
  private final Conditions conditions;
  private final ForwardingMetrics metrics;
  private final CallPacer pacer = new CallPacer();
  private final SourceBackoff backoff = new SourceBackoff();
  private boolean hasCompleteState;
  private boolean isConfirmed;
  private volatile boolean sourceResponds = true;
  private volatile boolean isReader = true;

  /**
   * The inputs that decide whether and when this node calls the source.
   *
   * @param policy the mechanisms in use
   * @param processorLag delays the first call while the processor is busy
   * @param readers decides whether this node reads the source, or another one of its zone
   */
  public record Conditions(
      ForwardingPolicy policy, ProcessorLag processorLag, SourceReaders readers) {}

  /** Receives the times at which the source confirmed the state. */
  public interface ConfirmationListener {
    /** Called after each response of the source: nothing newer existed when the call began. */
    void onConfirmed(long nowMs);
  }

  /**
   * Creates a follower that has not called the source yet.
   *
   * @param keeper receives what is read
   * @param listener is called each time that the source confirms the state
   * @param conditions decide whether and when this node calls the source
   */
  public SourceFollower(
      StateSource source,
      StateKeeper keeper,
      ConfirmationListener listener,
      Conditions conditions,
      EventLog log,
      ForwardingMetrics metrics) {
    this.source = source;
    this.keeper = keeper;
    this.listener = listener;
    this.conditions = conditions;
    this.log = log;
    this.metrics = metrics;
  }

  /** Returns whether this node reads the source, and the source responded to the last call. */
  public boolean isReadingSource() {
    return sourceResponds && isReader;
  }

  public void start() {
    Thread thread = new Thread(this::followForever, "source-follower");
    thread.setDaemon(true);
    thread.start();
  }

  private void followForever() {
    try {
      hasCompleteState = awaitPeerState();
      while (true) {
        if (!updateMustRead()) {
          Thread.sleep(STANDBY_POLL_MS);
          continue;
        }
        Thread.sleep(pacer.reserveDelayMs(MonotonicClock.nowMs()));
        try {
          step();
          onCallSucceeded();
        } catch (StateSourceException e) {
          onCallFailed(e);
        } catch (RuntimeException e) {
          log.event("internal-error", "detail", String.valueOf(e));
          Thread.sleep(INTERNAL_ERROR_PAUSE_MS);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean awaitPeerState() throws InterruptedException {
    if (!conditions.policy().uses(Mechanism.PEER_STATE_FIRST)) {
      return false;
    }
    long deadlineMs = MonotonicClock.nowMs() + PEER_STATE_WAIT_MS;
    while (keeper.state().revision() == 0 && MonotonicClock.nowMs() < deadlineMs) {
      Thread.sleep(PEER_STATE_POLL_MS);
    }
    boolean isKnown = keeper.state().revision() > 0;
    if (isKnown && conditions.policy().uses(Mechanism.PACED_START)) {
      conditions.processorLag().awaitLow(MAX_CONFIRMATION_DELAY_MS);
    }
    return isKnown;
  }

  // Without a complete state, this node reads the source even if a peer reads it too.
  private boolean updateMustRead() {
    boolean mayLeaveToPeer = hasCompleteState && conditions.policy().uses(Mechanism.SOURCE_READERS);
    SourceReaders readers = conditions.readers();
    long revision = keeper.state().revision();
    boolean mustRead = !mayLeaveToPeer || readers.mustRead(revision, MonotonicClock.nowMs());
    if (mustRead != isReader) {
      isReader = mustRead;
      isConfirmed = false;
      log.event(
          mustRead ? "reads-source" : "leaves-source-to-peer",
          "revision",
          Revision.text(revision),
          "readers-not-relied-on",
          readers.distrustedCount());
    }
    return mustRead;
  }

  private void step() throws StateSourceException {
    if (hasCompleteState) {
      int waitMs = isConfirmed ? WAIT_MS : CONFIRMATION_WAIT_MS;
      StateChanges changes = source.awaitChanges(keeper.state().revision(), waitMs);
      keeper.apply(changes, MonotonicClock.nowMs());
    } else {
      readAll();
      hasCompleteState = true;
    }
    isConfirmed = true;
  }

  private void readAll() throws StateSourceException {
    FleetState state = source.readAll();
    long knownRevision = keeper.state().revision();
    // A complete state with a revision below the known one changes little. Logging both revisions
    // helps an operator to find out why a change never came into effect.
    log.event(
        "state-from-source",
        "revision",
        Revision.text(state.revision()),
        "before",
        Revision.text(knownRevision));
    if (Revision.isOfEarlierEra(state.revision(), knownRevision)) {
      throw new StateSourceException(
          StateSourceFailure.OUTDATED, "the source responded with a state of an earlier era");
    }
    keeper.replaceBy(state, MonotonicClock.nowMs());
  }

  private void onCallSucceeded() {
    backoff.onSuccess();
    metrics.count(ForwardingCounter.SOURCE_ANSWERS);
    listener.onConfirmed(MonotonicClock.nowMs());
    if (!sourceResponds) {
      sourceResponds = true;
      log.event("source-regained", "revision", Revision.text(keeper.state().revision()));
    }
  }

  private void onCallFailed(StateSourceException e) throws InterruptedException {
    metrics.count(ForwardingCounter.ofFailure(e.failure()));
    if (sourceResponds) {
      sourceResponds = false;
      log.event(
          "source-lost",
          "failure",
          e.failure().code(),
          "detail",
          e.getMessage(),
          "revision",
          Revision.text(keeper.state().revision()));
    }
    if (e.failure() == StateSourceFailure.ERA_CHANGED) {
      // The source responds, so its complete state is read without a back-off.
      hasCompleteState = false;
      return;
    }
    if (e.failure() == StateSourceFailure.HISTORY_GONE) {
      hasCompleteState = false;
    }
    Thread.sleep(backoff.onFailure());
  }
}
