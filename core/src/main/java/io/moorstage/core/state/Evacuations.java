package io.moorstage.core.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The evacuations of zones in one state. Immutable.
 *
 * <p>A lifted evacuation is kept with the revision at which it was lifted. Otherwise a node with an
 * older state would set it again. Each zone has at most one entry, so lifted ones need not be
 * evicted.
 */
public final class Evacuations {
  /** No zone has ever been evacuated. */
  public static final Evacuations NONE = new Evacuations(Map.of());

  private final Map<String, ZoneEvacuation> byZone;

  private Evacuations(Map<String, ZoneEvacuation> byZone) {
    this.byZone = byZone;
  }

  /** Creates evacuations; of several for one zone, the one with the highest revision is kept. */
  public static Evacuations of(Collection<ZoneEvacuation> evacuations) {
    return NONE.apply(evacuations);
  }

  /** Returns the latest change of each zone that is or was evacuated. */
  public Collection<ZoneEvacuation> all() {
    return byZone.values();
  }

  /** Returns the zones with an evacuation in force. */
  public Set<String> zones() {
    Set<String> zones = new HashSet<>();
    for (ZoneEvacuation evacuation : byZone.values()) {
      if (evacuation.inForce()) {
        zones.add(evacuation.zone());
      }
    }
    return zones;
  }

  /** Returns whether the evacuation of a zone is in force. */
  public boolean isInForce(String zone) {
    ZoneEvacuation evacuation = byZone.get(zone);
    return evacuation != null && evacuation.inForce();
  }

  /** Returns these evacuations after changes; for each zone, the highest revision is kept. */
  Evacuations apply(Collection<ZoneEvacuation> changes) {
    if (changes.isEmpty()) {
      return this;
    }
    Map<String, ZoneEvacuation> changed = new HashMap<>(byZone);
    for (ZoneEvacuation change : changes) {
      ZoneEvacuation known = changed.get(change.zone());
      if (known == null || change.revision() > known.revision()) {
        changed.put(change.zone(), change);
      }
    }
    return new Evacuations(changed);
  }

  /**
   * Returns these evacuations with the newer changes of another node.
   *
   * @param ownRevision the source's {@link Revision} up to which these evacuations are complete, 0
   *     if nothing is known. An evacuation of an unknown zone that is not newer than this was
   *     lifted before, and is ignored
   */
  Evacuations merge(Evacuations other, long ownRevision) {
    List<ZoneEvacuation> newer = new ArrayList<>(0);
    for (ZoneEvacuation evacuation : other.byZone.values()) {
      if (byZone.containsKey(evacuation.zone()) || evacuation.revision() > ownRevision) {
        newer.add(evacuation);
      }
    }
    return apply(newer);
  }

  /**
   * Returns these evacuations after a complete state has been read. An evacuation that is not in
   * force in that state has been lifted by then. One from an earlier era of the source stays in
   * force, since it may be written again.
   *
   * @param completeRevision the source's {@link Revision} up to which that state is complete
   */
  Evacuations replaceBy(Evacuations complete, long completeRevision) {
    Map<String, ZoneEvacuation> changed = new HashMap<>(apply(complete.all()).byZone);
    for (ZoneEvacuation known : List.copyOf(changed.values())) {
      boolean isLifted = known.inForce() && !complete.isInForce(known.zone());
      boolean isComparable = !Revision.isOfEarlierEra(known.revision(), completeRevision);
      if (isLifted && isComparable && known.revision() <= completeRevision) {
        changed.put(known.zone(), new ZoneEvacuation(known.zone(), false, completeRevision));
      }
    }
    return new Evacuations(changed);
  }

  /** Returns whether an evacuation in force is from an earlier era than a revision. */
  boolean hasUnconfirmed(long revision) {
    for (ZoneEvacuation known : byZone.values()) {
      if (isUnconfirmed(known, revision)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isUnconfirmed(ZoneEvacuation known, long revision) {
    return known.inForce() && Revision.isOfEarlierEra(known.revision(), revision);
  }

  /** Returns these evacuations with those lifted that are from an earlier era than a revision. */
  Evacuations withoutUnconfirmed(long revision) {
    Map<String, ZoneEvacuation> confirmed = new HashMap<>(byZone);
    confirmed.replaceAll(
        (zone, known) ->
            isUnconfirmed(known, revision) ? new ZoneEvacuation(zone, false, revision) : known);
    return new Evacuations(confirmed);
  }

  /** Returns the changes with a higher revision than a known one. */
  Evacuations since(long knownRevision) {
    List<ZoneEvacuation> newer = new ArrayList<>(0);
    for (ZoneEvacuation known : byZone.values()) {
      if (known.revision() > knownRevision) {
        newer.add(known);
      }
    }
    return of(newer);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Evacuations that && byZone.equals(that.byZone);
  }

  @Override
  public int hashCode() {
    return byZone.hashCode();
  }

  @Override
  public String toString() {
    return byZone.values().toString();
  }
}
