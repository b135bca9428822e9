package io.moorstage.forwarding.state;

import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
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
 * Holds the newest state of this process, updated from the configuration source and from peers, and
 * passes each update to a listener. The revision of the state never decreases.
 */
public final class StateKeeper {
  /**
   * How long unconfirmed entries, which are known only from an earlier era of the source, are kept,
   * in milliseconds. Targets and operators write their entries again within about 2 s after a
   * restored source is available, and each node receives them a moment later. An entry that is
   * missing for longer is treated as gone.
   */
  static final int UNCONFIRMED_TTL_MS = 2_500;

  /** The expiry time while there are no unconfirmed entries. */
  private static final long NEVER = Long.MAX_VALUE;

  private final int goneTargetRetentionMs;
  private final Listener listener;
  private final RevisionGaps gaps = new RevisionGaps();
  private volatile long evictedRevision;
  private final Map<String, Long> goneSinceMs = new HashMap<>();
  private final FormerServices formerServices;
  private volatile FleetState state = FleetState.EMPTY;
  private volatile Encoded encoded;

  /** When unconfirmed entries expire. */
  private volatile long unconfirmedUntilMs = NEVER;

  /** When the configuration will have all former services of its routes. */
  private volatile long formerServicesCompleteAtMs = FormerServices.NEVER;

  /** A state with its encoding, cached for requests of peers. */
  private record Encoded(FleetState state, byte[] bytes) {}

  /** Receives the updates of the state. */
  public interface Listener {
    /**
     * Handles an update, which may have changed nothing. Calls are made one at a time, in the order
     * of the updates.
     */
    void onState(FleetState before, FleetState after, long nowMs);
  }

  /**
   * Creates a keeper with the empty state.
   *
   * @param goneTargetRetentionMs how long the record of a target that is gone is kept, in
   *     milliseconds; also how long a route keeps a service at weight 0
   * @param listener receives each update
   */
  public StateKeeper(int goneTargetRetentionMs, Listener listener) {
    this.goneTargetRetentionMs = goneTargetRetentionMs;
    this.formerServices = new FormerServices(goneTargetRetentionMs);
    this.listener = listener;
  }

  /**
   * Returns the newest state. Takes no lock: the listener runs under the lock of this keeper, and
   * would deadlock with a thread that waits for it here and holds a lock that the listener needs.
   */
  public FleetState state() {
    return state;
  }

  /** Updates the state with a complete state that was read from the source or from a peer. */
  public void replaceBy(FleetState complete, long nowMs) {
    update(
        current -> {
          recordGap(gapStart(current), complete.revision());
          return current.replaceBy(complete);
        },
        nowMs);
  }

  // While an entry is known only from an earlier era, this node has not seen what the source listed
  // under its id in the current era. A peer that has seen it could not learn from this node's
  // changes that it has ended, so the gap starts with the era.
  private static long gapStart(FleetState state) {
    long eraStart = Revision.of(Revision.era(state.revision()), 0);
    return state.hasUnconfirmed() ? eraStart : state.revision();
  }

  private void recordGap(long before, long after) {
    // Gaps below the revision of an evicted record are not needed, since peers with such a revision
    // get the complete state anyway.
    gaps.removeUntil(evictedRevision);
    gaps.add(before, after);
  }

  /** Updates the state with changes that the source has reported. */
  public void apply(StateChanges changes, long nowMs) {
    update(current -> current.apply(changes), nowMs);
  }

  /**
   * Merges the changes that a peer has returned for a query of this node. They are ignored if the
   * state has been updated to another revision since the query, since this revision might lie in a
   * gap of the peer. The response does not contain the peer's gaps, so all revisions that the
   * changes cover are recorded as a gap of this node.
   *
   * @param queryRevision the revision up to which this node's state was complete when it sent the
   *     query
   */
  public void merge(FleetState changes, long queryRevision, long nowMs) {
    update(
        current -> {
          if (current.revision() != queryRevision) {
            return current;
          }
          recordGap(queryRevision, changes.revision());
          return current.merge(changes);
        },
        nowMs);
  }

  /**
   * Merges a peer's copy of the configuration, which may have former services of routes that this
   * node does not know, also if it is of the same version or an older one.
   */
  public void merge(ForwardingConfiguration copy, long nowMs) {
    update(current -> current.merge(copy), nowMs);
  }

  private synchronized void update(UnaryOperator<FleetState> transition, long nowMs) {
    FleetState before = state;
    state = formerServices.update(evictGone(transition.apply(before), nowMs), nowMs);
    formerServicesCompleteAtMs = formerServices.completeAtMs();
    scheduleUnconfirmedExpiry(before, nowMs);
    listener.onState(before, state, nowMs);
  }

  private void scheduleUnconfirmedExpiry(FleetState before, long nowMs) {
    boolean hasNewEra = Revision.isOfEarlierEra(before.revision(), state.revision());
    if (!state.hasUnconfirmed()) {
      unconfirmedUntilMs = NEVER;
    } else if (hasNewEra || unconfirmedUntilMs == NEVER) {
      // A peer's state of the same era may also contain entries from an earlier era.
      unconfirmedUntilMs = nowMs + UNCONFIRMED_TTL_MS;
    }
  }

  /** Handles what depends on time alone; called with each tick. */
  public void onTick(long nowMs) {
    if (nowMs >= unconfirmedUntilMs) {
      expireUnconfirmed(nowMs);
    }
    if (nowMs >= formerServicesCompleteAtMs) {
      update(UnaryOperator.identity(), nowMs);
    }
  }

  // Unconfirmed entries are gone once they have expired.
  private synchronized void expireUnconfirmed(long nowMs) {
    // Checked again under the lock: a second restore may just have extended the time.
    if (nowMs >= unconfirmedUntilMs) {
      unconfirmedUntilMs = NEVER;
      update(FleetState::withoutUnconfirmed, nowMs);
    }
  }

  private FleetState evictGone(FleetState newer, long nowMs) {
    List<String> evictedIds = new ArrayList<>(0);
    for (TargetRecord target : newer.targets()) {
      if (target.isListed()) {
        // The target may have been gone before: an expired entry can be written again.
        goneSinceMs.remove(target.id());
        continue;
      }
      Long since = goneSinceMs.putIfAbsent(target.id(), nowMs);
      if (since != null && nowMs - since > goneTargetRetentionMs) {
        evictedIds.add(target.id());
        evictedRevision = Math.max(evictedRevision, target.revision());
        goneSinceMs.remove(target.id());
      }
    }
    return evictedIds.isEmpty() ? newer : newer.without(evictedIds);
  }

  /**
   * Returns the encoded changes for a peer, or the encoded complete state if this node may lack
   * some of these changes; null if the complete state is required and this node has none.
   *
   * @param knownRevision the revision up to which the peer's state is complete, 0 if it has none
   * @param knownVersion the version of the peer's configuration
   */
  @Nullable
  public byte[] encodedSince(long knownRevision, long knownVersion) {
    // The state is read first, then the gaps, then the evicted revision. A gap or an eviction is
    // recorded before the state that contains it is published, and a gap is removed only after the
    // evicted revision has reached its end. So the later reads cover all that the state lacks.
    FleetState current = state;
    boolean isInGap = gaps.contains(knownRevision);
    boolean isEvicted = knownRevision <= 0 || knownRevision < evictedRevision;
    if (isInGap || isEvicted) {
      return encoded();
    }
    return FleetStateCodec.encodeChanges(current.since(knownRevision, knownVersion));
  }

  /** Returns the encoded complete state, or null if this node has none. */
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
