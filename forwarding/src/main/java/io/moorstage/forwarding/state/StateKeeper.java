package io.moorstage.forwarding.state;

import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.Revision;
import io.moorstage.core.state.StateChanges;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import javax.annotation.Nullable;

/**
 * Holds the newest state that this process knows, whoever reported it, and passes each newer one
 * on. States only go forward.
 */
public final class StateKeeper {
  /**
   * How long what is known from an earlier era of the source only is kept, in milliseconds: what
   * targets and operators wrote is written again within some two seconds of the source's return,
   * which each node learns of a moment later. Whatever stays away for longer is taken for gone.
   */
  static final int UNCONFIRMED_MS = 2_500;

  /** Nothing is known from an earlier era only. */
  private static final long NEVER = Long.MAX_VALUE;

  private final int goneMemoryMs;
  private final Listener listener;
  private final RevisionGaps gaps = new RevisionGaps();
  private volatile long forgottenRevision;
  private final Map<String, Long> goneSinceMs = new HashMap<>();
  private final FormerServices formerServices;
  private volatile FleetState state = FleetState.EMPTY;
  private volatile Encoded encoded;

  /** When what is known from an earlier era only is dropped. */
  private volatile long unconfirmedUntilMs = NEVER;

  /** A state in the form that peers read. */
  private record Encoded(FleetState state, byte[] bytes) {}

  /** Takes each newer state. */
  public interface Listener {
    /** Takes a state; calls come one at a time, in order. */
    void onState(FleetState before, FleetState after, long nowMs);
  }

  /**
   * Creates a keeper that knows nothing.
   *
   * @param goneMemoryMs for how long the record of a target that has gone is kept
   * @param listener hears of each newer state
   */
  public StateKeeper(int goneMemoryMs, Listener listener) {
    this.goneMemoryMs = goneMemoryMs;
    this.formerServices = new FormerServices(goneMemoryMs);
    this.listener = listener;
  }

  /** Returns the newest state; takes no lock, so a listener's thread can't be waited for. */
  public FleetState state() {
    return state;
  }

  /** Takes a complete reading of the source. */
  public void replaceBy(FleetState reading, long nowMs) {
    change(
        current -> {
          noteGap(followedUntil(current), reading.revision());
          return current.replaceBy(reading);
        },
        nowMs);
  }

  // Of an id that is known from an earlier era only, this node has not followed what the source has
  // listed in this one: a peer that has can't learn of its end from this node's changes.
  private static long followedUntil(FleetState state) {
    long eraStart = Revision.of(Revision.era(state.revision()), 0);
    return state.hasUnconfirmed() ? eraStart : state.revision();
  }

  private void noteGap(long before, long after) {
    // Peers that lack what has been forgotten get the whole state anyway.
    gaps.forgetUntil(forgottenRevision);
    gaps.note(before, after);
  }

  public void apply(StateChanges changes, long nowMs) {
    change(current -> current.apply(changes), nowMs);
  }

  /**
   * Takes what has changed at a peer since this node asked it, unless this node has gone on since:
   * the changes might then begin in a gap of the peer. The peer's gaps are not in its answer, so
   * all that the changes pass over is a gap here.
   *
   * @param askedRevision the revision up to which this node knew all when it asked
   */
  public void merge(FleetState changes, long askedRevision, long nowMs) {
    change(
        current -> {
          if (current.revision() != askedRevision) {
            return current;
          }
          noteGap(askedRevision, changes.revision());
          return current.merge(changes);
        },
        nowMs);
  }

  private synchronized void change(UnaryOperator<FleetState> step, long nowMs) {
    FleetState before = state;
    state = formerServices.forget(forgetGone(step.apply(before), nowMs), nowMs);
    timeUnconfirmed(before, nowMs);
    listener.onState(before, state, nowMs);
  }

  private void timeUnconfirmed(FleetState before, long nowMs) {
    boolean hasNewEra = Revision.isOfEarlierEra(before.revision(), state.revision());
    if (!state.hasUnconfirmed()) {
      unconfirmedUntilMs = NEVER;
    } else if (hasNewEra || unconfirmedUntilMs == NEVER) {
      // A peer may also hand over what it knows from an earlier era within one.
      unconfirmedUntilMs = nowMs + UNCONFIRMED_MS;
    }
  }

  /** Drops what nobody has written again since the source came back; called with each tick. */
  public void onTick(long nowMs) {
    if (nowMs >= unconfirmedUntilMs) {
      unconfirmedUntilMs = NEVER;
      change(FleetState::withoutUnconfirmed, nowMs);
    }
  }

  private FleetState forgetGone(FleetState newer, long nowMs) {
    List<String> forgotten = new ArrayList<>(0);
    for (TargetRecord target : newer.targets()) {
      if (target.isListed()) {
        // It may have been gone before: an entry that has lapsed can come back.
        goneSinceMs.remove(target.id());
        continue;
      }
      Long since = goneSinceMs.putIfAbsent(target.id(), nowMs);
      if (since != null && nowMs - since > goneMemoryMs) {
        forgotten.add(target.id());
        forgottenRevision = Math.max(forgottenRevision, target.revision());
        goneSinceMs.remove(target.id());
      }
    }
    return forgotten.isEmpty() ? newer : newer.without(forgotten);
  }

  /**
   * Returns the encoded changes since a revision that a peer knows, or the encoded state where this
   * node may not know them all; null if nothing is known.
   */
  @Nullable
  public byte[] encodedSince(long knownRevision, long knownVersion) {
    // In this order, a state lacks no more than the gaps and the revision read after it tell: a gap
    // goes only after that revision has risen above it.
    FleetState current = state;
    boolean inGap = gaps.holds(knownRevision);
    boolean forgotten = knownRevision <= 0 || knownRevision < forgottenRevision;
    if (inGap || forgotten) {
      return encoded();
    }
    return FleetStateCodec.encodeChanges(current.since(knownRevision, knownVersion));
  }

  /** Returns the encoded state, or null if nothing is known. */
  @Nullable
  byte[] encoded() {
    FleetState current = state;
    if (current.revision() == 0) {
      return null;
    }
    Encoded known = encoded;
    if (known == null || known.state() != current) {
      known = new Encoded(current, FleetStateCodec.encode(current));
      encoded = known;
    }
    return known.bytes();
  }
}
