package io.moorstage.core.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import javax.annotation.Nullable;

/**
 * A copy of what the configuration source holds, complete up to a revision. Immutable.
 *
 * <p>A state never goes back to an older one: {@link #merge} takes only what is newer, record by
 * record. So a state can be merged from the source or from a peer, however old it is.
 */
public final class FleetState {
  /** The empty state, at revision 0, before any state is read. */
  public static final FleetState EMPTY =
      new FleetState(0, ForwardingConfiguration.NONE, new HashMap<>(), Evacuations.NONE);

  private final long revision;
  private final ForwardingConfiguration configuration;
  private final Map<String, TargetRecord> targets;
  private final Evacuations evacuations;

  private FleetState(
      long revision,
      ForwardingConfiguration configuration,
      Map<String, TargetRecord> targets,
      Evacuations evacuations) {
    this.revision = revision;
    this.configuration = configuration;
    this.targets = targets;
    this.evacuations = evacuations;
  }

  /**
   * Creates a state.
   *
   * @param revision the source's {@link Revision} up to which the state is complete
   * @param configuration the newest configuration
   * @param targets the targets, including those that are gone but may still serve flows
   * @param evacuations the evacuations of zones
   */
  public static FleetState of(
      long revision,
      ForwardingConfiguration configuration,
      Collection<TargetRecord> targets,
      Evacuations evacuations) {
    Map<String, TargetRecord> byId = new HashMap<>();
    for (TargetRecord target : targets) {
      byId.put(target.id(), target);
    }
    return new FleetState(revision, configuration, byId, evacuations);
  }

  /** Returns the source's {@link Revision} up to which this state is complete. */
  public long revision() {
    return revision;
  }

  public ForwardingConfiguration configuration() {
    return configuration;
  }

  /** Returns the evacuations of zones, including lifted ones. */
  public Evacuations evacuations() {
    return evacuations;
  }

  /** Returns all targets, including those that are gone. */
  public Collection<TargetRecord> targets() {
    return targets.values();
  }

  /**
   * Returns the target at each address: the one that was listed last, of any service that the
   * configuration names. Earlier ones at the address have ended, even if the source still lists
   * them. A target of a service that is not named may be an entry of another writer, and is
   * returned only if there is no other target at its address.
   */
  public Map<Integer, TargetRecord> targetsByAddress() {
    Map<Integer, TargetRecord> current = new HashMap<>();
    for (TargetRecord target : targets.values()) {
      current.merge(
          target.address(), target, (known, other) -> replaces(other, known) ? other : known);
    }
    return current;
  }

  private boolean replaces(TargetRecord target, TargetRecord other) {
    boolean isNamed = configuration.names(target.service());
    return isNamed == configuration.names(other.service()) ? target.supersedes(other) : isNamed;
  }

  /** Returns a target, or null if it was never listed or its record has been evicted. */
  @Nullable
  public TargetRecord target(String id) {
    return targets.get(id);
  }

  /** Returns this state with everything that is newer in another one. */
  public FleetState merge(FleetState other) {
    Map<String, TargetRecord> merged = new HashMap<>(targets);
    for (TargetRecord record : other.targets.values()) {
      if (mayUpdate(record)) {
        merged.merge(record.id(), record, TargetRecord::merge);
      }
    }
    return new FleetState(
        Math.max(revision, other.revision),
        configuration.merge(other.configuration),
        merged,
        evacuations.merge(other.evacuations.since(revision), revision));
  }

  /**
   * Returns whether a record may update this state. The state is complete up to its revision, so a
   * record that is not newer is a stale copy of a target that has since changed or gone.
   */
  private boolean mayUpdate(TargetRecord record) {
    if (record.revision() > revision || revision == 0) {
      return true;
    }
    TargetRecord known = targets.get(record.id());
    // A later start is taken at any revision. A record of an earlier era is taken since it may show
    // that a start is draining, which lasts until the start ends.
    return known != null
        && (record.startedAfter(known) || Revision.isOfEarlierEra(record.revision(), revision));
  }

  /**
   * Returns the changes of this state that another node lacks, for that node to merge.
   *
   * @param knownRevision the revision up to which the other node's state is complete
   * @param knownVersion the version of the other node's configuration
   */
  public FleetState since(long knownRevision, long knownVersion) {
    Map<String, TargetRecord> newer = new HashMap<>();
    for (TargetRecord record : targets.values()) {
      if (record.revision() > knownRevision) {
        newer.put(record.id(), record);
      }
    }
    boolean isConfigurationKnown = configuration.version() <= knownVersion;
    return new FleetState(
        revision,
        isConfigurationKnown ? ForwardingConfiguration.NONE : configuration,
        newer,
        evacuations.since(knownRevision));
  }

  /**
   * Returns this state after a complete state has been read from the source or a peer. What is
   * newer in the complete state is taken over. A target that it does not list, or holds as gone, is
   * gone, and an evacuation that is not in force in it is lifted.
   *
   * <p>What is known from an earlier era of the source than that of the complete state stays. The
   * source was restored from an older copy, and the missing entries may be written to it again; see
   * {@link #withoutUnconfirmed}.
   */
  public FleetState replaceBy(FleetState complete) {
    if (complete.revision < revision) {
      // The complete state is older than this one, and must not undo newer changes.
      return merge(complete);
    }
    Map<String, TargetRecord> replaced = new HashMap<>(targets);
    for (TargetRecord record : complete.targets.values()) {
      boolean isUnknownAndGone = !record.isListed() && !targets.containsKey(record.id());
      if (!isUnknownAndGone || mayUpdate(record)) {
        // Taken at any revision: a watch may have skipped a change that the source has dropped from
        // its history.
        replaced.merge(record.id(), record, TargetRecord::merge);
      }
    }
    replaced.replaceAll(
        (id, known) -> complete.isUnlisted(known) ? known.gone(complete.revision) : known);
    return new FleetState(
        complete.revision,
        configuration.merge(complete.configuration),
        replaced,
        evacuations.replaceBy(complete.evacuations, complete.revision));
  }

  /** Returns whether this complete state shows that a target of another state is gone. */
  private boolean isUnlisted(TargetRecord other) {
    TargetRecord known = targets.get(other.id());
    // A record from an earlier era does not show that the source lists the target in this era.
    boolean listed = known != null && known.isListed() && !isUnconfirmed(known);
    // A start that is gone gets the newer revision too: an earlier start may have been listed under
    // its id since, and a peer that holds only that record has to receive its end.
    boolean mayBeGone =
        other.isListed()
            ? !Revision.isOfEarlierEra(other.revision(), revision)
            : other.startedAtMs() > 0;
    return !listed && mayBeGone && other.revision() <= revision;
  }

  /**
   * Returns whether a listed target or an evacuation in force is known only from an earlier era:
   * the source has not listed it since it was restored from an older copy.
   */
  public boolean hasUnconfirmed() {
    for (TargetRecord target : targets.values()) {
      if (isUnconfirmed(target)) {
        return true;
      }
    }
    return evacuations.hasUnconfirmed(revision);
  }

  private boolean isUnconfirmed(TargetRecord target) {
    return target.isListed() && Revision.isOfEarlierEra(target.revision(), revision);
  }

  /**
   * Returns this state with unconfirmed targets gone and unconfirmed evacuations lifted, since they
   * have not been written to the source again; see {@link #hasUnconfirmed}.
   */
  public FleetState withoutUnconfirmed() {
    Map<String, TargetRecord> confirmed = new HashMap<>(targets);
    confirmed.replaceAll((id, known) -> isUnconfirmed(known) ? known.gone(revision) : known);
    return new FleetState(
        revision, configuration, confirmed, evacuations.withoutUnconfirmed(revision));
  }

  /**
   * Returns this state after changes that the source has reported in a response.
   *
   * <p>This node may have taken a newer state from a peer since its request. A response with an
   * older revision than this state's is stale and ignored. Of a response with a newer revision,
   * only the changes above this state's revision are taken. A response with the same revision is
   * taken in full, since the source may report a revision before the changes of that revision.
   */
  public FleetState apply(StateChanges changes) {
    if (changes.revision() < revision) {
      return this;
    }
    boolean isNewer = changes.revision() > revision;
    Map<String, TargetRecord> changed = new HashMap<>(targets);
    for (TargetRecord written : changes.written()) {
      if (!isNewer || mayUpdate(written)) {
        // A response may hold several records of one target, in any order.
        changed.merge(written.id(), written, TargetRecord::merge);
      }
    }
    for (Map.Entry<String, Long> gone : changes.goneIds().entrySet()) {
      // The record may have been written by the same response.
      TargetRecord known = changed.get(gone.getKey());
      if (known != null && gone.getValue() > known.revision()) {
        changed.put(known.id(), known.gone(gone.getValue()));
      }
    }
    ForwardingConfiguration next = changes.configuration();
    Evacuations reported = Evacuations.of(changes.evacuations());
    return new FleetState(
        changes.revision(),
        next == null ? configuration : configuration.followedBy(next),
        changed,
        evacuations.apply(isNewer ? reported.since(revision).all() : reported.all()));
  }

  /** Returns this state with its configuration merged with another copy of any version. */
  public FleetState merge(ForwardingConfiguration copy) {
    return with(configuration.merge(copy));
  }

  /** Returns this state with another configuration. */
  public FleetState with(ForwardingConfiguration copy) {
    return new FleetState(revision, copy, targets, evacuations);
  }

  /** Returns this state without the records of some targets that are gone. */
  public FleetState without(Collection<String> evictedIds) {
    Map<String, TargetRecord> kept = new HashMap<>(targets);
    kept.keySet().removeAll(evictedIds);
    return new FleetState(revision, configuration, kept, evacuations);
  }
}
