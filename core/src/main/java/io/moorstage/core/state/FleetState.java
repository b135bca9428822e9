package io.moorstage.core.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import javax.annotation.Nullable;

/**
 * What the configuration source holds, complete as of a revision. Immutable.
 *
 * <p>States only go forward: {@link #merge} takes from another state what is newer, record by
 * record, so it does not matter whether the other one came from the source or from a peer, or how
 * old it is.
 */
public final class FleetState {
  /** Nothing is known. */
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
   * @param revision the source's revision up to which nothing is missing
   * @param configuration the newest configuration
   * @param targets the targets, those that are gone included for as long as they may serve
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

  /** Returns the source's {@link Revision} up to which nothing is missing. */
  public long revision() {
    return revision;
  }

  /** Returns the newest configuration. */
  public ForwardingConfiguration configuration() {
    return configuration;
  }

  /** Returns the evacuations of zones, those that have been lifted included. */
  public Evacuations evacuations() {
    return evacuations;
  }

  /** Returns all targets, those that are gone included. */
  public Collection<TargetRecord> targets() {
    return targets.values();
  }

  /**
   * Returns the target at each address: the one listed last, of whatever service; those before it
   * have ended, listed or not.
   */
  public Map<Integer, TargetRecord> targetsByAddress() {
    Map<Integer, TargetRecord> newest = new HashMap<>();
    for (TargetRecord target : targets.values()) {
      newest.merge(
          target.address(), target, (known, other) -> other.supersedes(known) ? other : known);
    }
    return newest;
  }

  /** Returns a target, or null if it was never listed or is forgotten. */
  @Nullable
  public TargetRecord target(String id) {
    return targets.get(id);
  }

  /** Returns this state with all that is newer in another one. */
  public FleetState merge(FleetState other) {
    Map<String, TargetRecord> merged = new HashMap<>(targets);
    for (TargetRecord record : other.targets.values()) {
      if (isNews(record)) {
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
   * Returns whether a record holds something that this state lacks. Nothing is missing up to its
   * revision: a record from before is an old copy, of a target that has changed or gone since.
   */
  private boolean isNews(TargetRecord record) {
    if (record.revision() > revision || revision == 0) {
      return true;
    }
    TargetRecord known = targets.get(record.id());
    // A later start counts whatever its revision, and a start that drained before drains on.
    return known != null
        && (record.startedAfter(known) || Revision.isOfEarlierEra(record.revision(), revision));
  }

  /**
   * Returns what is newer here than at a node that knows another revision; to be merged there.
   *
   * @param knownRevision the revision up to which that node knows all
   * @param knownVersion the version of the configuration that it has
   */
  public FleetState since(long knownRevision, long knownVersion) {
    Map<String, TargetRecord> newer = new HashMap<>();
    for (TargetRecord record : targets.values()) {
      if (record.revision() > knownRevision) {
        newer.put(record.id(), record);
      }
    }
    boolean known = configuration.version() <= knownVersion;
    return new FleetState(
        revision,
        known ? ForwardingConfiguration.NONE : configuration,
        newer,
        evacuations.since(knownRevision));
  }

  /**
   * Returns this state after a complete one, a reading of the source or what a peer holds: what is
   * newer is taken over, and targets that it does not list are gone, as are evacuations. A target
   * that it holds as gone is not listed in it.
   *
   * <p>What was known in an earlier era of the source than that of the reading stays: the source
   * has come back from an older copy and may get it written again, see {@link #withoutUnconfirmed}.
   */
  public FleetState replaceBy(FleetState reading) {
    if (reading.revision < revision) {
      // The reading is older than what we hold already; it must not take anything back.
      return merge(reading);
    }
    Map<String, TargetRecord> replaced = new HashMap<>(targets);
    for (TargetRecord record : reading.targets.values()) {
      boolean isForgotten = !record.isListed() && !targets.containsKey(record.id());
      if (!isForgotten || isNews(record)) {
        // Whatever its revision: a watch may have passed over a change whose history is gone.
        replaced.merge(record.id(), record, TargetRecord::merge);
      }
    }
    replaced.replaceAll(
        (id, known) -> reading.isUnlisted(known) ? known.gone(reading.revision) : known);
    return new FleetState(
        reading.revision,
        configuration.merge(reading.configuration),
        replaced,
        evacuations.replaceBy(reading.evacuations, reading.revision));
  }

  /** Returns whether a target that another state lists has ended as of this one. */
  private boolean isUnlisted(TargetRecord other) {
    TargetRecord known = targets.get(other.id());
    // What this state knows from an earlier era only is no proof that the source lists it now.
    boolean listed = known != null && known.isListed() && !isUnconfirmed(known);
    // The end of a start is noted anew: an earlier start may have been listed since under its id,
    // and
    // peers that know only that one have to learn that it has gone.
    boolean mayHaveBeenListed =
        other.isListed()
            ? !Revision.isOfEarlierEra(other.revision(), revision)
            : other.startedAtMs() > 0;
    return !listed && mayHaveBeenListed && other.revision() <= revision;
  }

  /**
   * Returns whether something is known from an earlier era only: a target that is listed, or an
   * evacuation in force, that the source has not listed since it came back from an older copy.
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
   * Returns this state without what is known from an earlier era only: those targets are gone and
   * those evacuations lifted, since nobody has written them again.
   */
  public FleetState withoutUnconfirmed() {
    Map<String, TargetRecord> confirmed = new HashMap<>(targets);
    confirmed.replaceAll((id, known) -> isUnconfirmed(known) ? known.gone(revision) : known);
    return new FleetState(
        revision, configuration, confirmed, evacuations.withoutUnconfirmed(revision));
  }

  /**
   * Returns this state after changes that the source has reported.
   *
   * <p>This node may have got a newer state from a peer since it asked. An answer that leads up to
   * an older revision than the state's is then too late, and of one that leads further only what
   * lies above that revision is news. One that leads up to the same revision is taken: the source
   * may report a change at a revision that it has named before.
   */
  public FleetState apply(StateChanges changes) {
    if (changes.revision() < revision) {
      return this;
    }
    boolean leadsFurther = changes.revision() > revision;
    Map<String, TargetRecord> changed = new HashMap<>(targets);
    for (TargetRecord written : changes.written()) {
      if (!leadsFurther || isNews(written)) {
        // The answer may hold several records of one target, in any order.
        changed.merge(written.id(), written, TargetRecord::merge);
      }
    }
    for (Map.Entry<String, Long> gone : changes.goneIds().entrySet()) {
      // The record may be one of those that were written a moment earlier.
      TargetRecord known = changed.get(gone.getKey());
      if (known != null && gone.getValue() > known.revision()) {
        changed.put(known.id(), known.gone(gone.getValue()));
      }
    }
    ForwardingConfiguration next = changes.configuration();
    Evacuations reported = Evacuations.of(changes.evacuations());
    return new FleetState(
        changes.revision(),
        next == null ? configuration : configuration.merge(next),
        changed,
        evacuations.apply(leadsFurther ? reported.since(revision).all() : reported.all()));
  }

  /** Returns this state with another copy of its configuration. */
  public FleetState with(ForwardingConfiguration copy) {
    return new FleetState(revision, copy, targets, evacuations);
  }

  /** Returns this state without some targets, which have been gone for long enough. */
  public FleetState without(Collection<String> forgottenIds) {
    Map<String, TargetRecord> kept = new HashMap<>(targets);
    kept.keySet().removeAll(forgottenIds);
    return new FleetState(revision, configuration, kept, evacuations);
  }
}
