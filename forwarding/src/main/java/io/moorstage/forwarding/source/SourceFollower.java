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
 * Follows the configuration source: waits for changes after the state that a peer has handed over,
 * or reads everything if none has, and again when the source has lost its history or has come back
 * from an older copy of itself.
 */
public final class SourceFollower {
  /**
   * How long a call waits for a change, in milliseconds: as long as a failure of the source may go
   * unnoticed. Not measured; chosen so that an idle source is called every two seconds by one
   * reader a zone.
   */
  public static final int WAIT_MS = 2_000;

  /** The pause after a fault of this program, in milliseconds: the longest range of a back-off. */
  private static final int INTERNAL_ERROR_PAUSE_MS = SourceBackoff.LONGEST_RANGE_MS;

  /**
   * How long a start waits for a peer's state: agents advertise theirs every 100 ms while they
   * start too. To take one over costs a tenth of the processor time of reading the source.
   */
  private static final int PEER_FIRST_MS = 120;

  /**
   * How long a peer's state may go unconfirmed while this node works off a queue of requests, in
   * milliseconds. Not measured; chosen so that a start on a busy machine is confirmed within a
   * second.
   */
  private static final int CONFIRM_WITHIN_MS = 700;

  /** How often a start looks for a peer's state, in milliseconds; far below that wait. */
  private static final int PEER_POLL_MS = 10;

  /**
   * How often a node that leaves the source to a peer looks whether it has to read itself, in
   * milliseconds. Not measured; chosen far below the time after which a reader counts as silent.
   */
  private static final int RESERVE_POLL_MS = 100;

  /**
   * The first wait after a peer's state, in milliseconds, is short: until it ends, the state is not
   * confirmed. Not measured.
   */
  private static final int CONFIRMING_WAIT_MS = 20;

  private final StateSource source;
  private final StateKeeper keeper;
  private final EventLog log;
  private final ConfirmationListener listener;
  private final Conditions conditions;
  private final ForwardingMetrics metrics;
  private final CallPacer pacer = new CallPacer();
  private final SourceBackoff backoff = new SourceBackoff();
  private boolean complete;
  private boolean confirmed;
  private volatile boolean answering = true;
  private volatile boolean reading = true;

  /**
   * What decides whether and when this node calls the source.
   *
   * @param policy says which mechanisms are on
   * @param processorLag says whether the first call has to wait for the processor
   * @param readers decides whether this node reads, or another one of its zone
   */
  public record Conditions(
      ForwardingPolicy policy, ProcessorLag processorLag, SourceReaders readers) {}

  /** Hears that the state was current at some time. */
  public interface ConfirmationListener {
    /** The source has answered; nothing newer existed when the call began. */
    void onConfirmed(long nowMs);
  }

  /**
   * Creates a follower that has not called the source yet.
   *
   * @param listener hears each time that the source confirms the state
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

  /** Returns whether this node reads the source, and the last call was answered. */
  public boolean isAnswering() {
    return answering && reading;
  }

  public void start() {
    Thread thread = new Thread(this::followForever, "source-follower");
    thread.setDaemon(true);
    thread.start();
  }

  private void followForever() {
    try {
      complete = awaitPeerState();
      while (true) {
        if (!decideToRead()) {
          Thread.sleep(RESERVE_POLL_MS);
          continue;
        }
        Thread.sleep(pacer.takeDelayMs(MonotonicClock.nowMs()));
        try {
          step();
          succeeded();
        } catch (StateSourceException e) {
          failed(e);
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
    long deadlineMs = MonotonicClock.nowMs() + PEER_FIRST_MS;
    while (keeper.state().revision() == 0 && MonotonicClock.nowMs() < deadlineMs) {
      Thread.sleep(PEER_POLL_MS);
    }
    boolean known = keeper.state().revision() > 0;
    if (known && conditions.policy().uses(Mechanism.PACED_START)) {
      conditions.processorLag().awaitLow(CONFIRM_WITHIN_MS);
    }
    return known;
  }

  // Without any state there is nothing to go on from, whoever else reads.
  private boolean decideToRead() {
    boolean shares = complete && conditions.policy().uses(Mechanism.SOURCE_READERS);
    boolean mustRead = !shares || conditions.readers().mustRead(MonotonicClock.nowMs());
    if (mustRead != reading) {
      reading = mustRead;
      confirmed = false;
      log.event(mustRead ? "reads-source" : "leaves-source-to-peer");
    }
    return mustRead;
  }

  private void step() throws StateSourceException {
    if (complete) {
      int waitMs = confirmed ? WAIT_MS : CONFIRMING_WAIT_MS;
      StateChanges changes = source.awaitChanges(keeper.state().revision(), waitMs);
      keeper.apply(changes, MonotonicClock.nowMs());
    } else {
      readAll();
      complete = true;
    }
    confirmed = true;
  }

  private void readAll() throws StateSourceException {
    FleetState reading = source.readAll();
    long knownRevision = keeper.state().revision();
    // A reading below the known revision changes little: whoever looks for a change that never came
    // into force has to see that.
    log.event(
        "state-from-source",
        "revision",
        Revision.text(reading.revision()),
        "before",
        Revision.text(knownRevision));
    if (Revision.isOfEarlierEra(reading.revision(), knownRevision)) {
      throw new StateSourceException(StateSourceFailure.OUTDATED, "the reading is of an old era");
    }
    keeper.replaceBy(reading, MonotonicClock.nowMs());
  }

  private void succeeded() {
    backoff.onAnswer();
    metrics.count(ForwardingCounter.SOURCE_ANSWERS);
    listener.onConfirmed(MonotonicClock.nowMs());
    if (!answering) {
      answering = true;
      log.event("source-regained", "revision", Revision.text(keeper.state().revision()));
    }
  }

  private void failed(StateSourceException e) throws InterruptedException {
    metrics.count(ForwardingCounter.ofFailure(e.failure()));
    if (answering) {
      answering = false;
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
      // The source answers: what it holds now is read without a pause.
      complete = false;
      return;
    }
    if (e.failure() == StateSourceFailure.HISTORY_GONE) {
      complete = false;
    }
    Thread.sleep(backoff.onFailure());
  }
}
