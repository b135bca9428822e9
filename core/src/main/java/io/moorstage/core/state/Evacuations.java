package io.moorstage.core.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The evacuations of zones as of one state. Immutable.
 *
 * <p>A lifted evacuation stays, with the revision at which it was lifted: without it, a node that
 * is behind would set it again. There is at most one for each zone, so none has to be forgotten.
 */
public final class Evacuations {
  /** No zone has ever been evacuated. */
  public static final Evacuations NONE = new Evacuations(Map.of());

  private final Map<String, ZoneEvacuation> byZone;

  private Evacuations(Map<String, ZoneEvacuation> byZone) {
    this.byZone = byZone;
  }

  /** Creates evacuations; of two for the same zone the later one counts. */
  public static Evacuations of(Collection<ZoneEvacuation> evacuations) {
    return NONE.apply(evacuations);
  }

  /** Returns what is known of each zone that is or was evacuated. */
  public Collection<ZoneEvacuation> all() {
    return byZone.values();
  }

  /** Returns the zones that are evacuated now. */
  public Set<String> zones() {
    Set<String> zones = new HashSet<>();
    for (ZoneEvacuation evacuation : byZone.values()) {
      if (evacuation.inForce()) {
        zones.add(evacuation.zone());
      }
    }
    return zones;
  }

  /** Returns whether a zone is evacuated now. */
  public boolean isInForce(String zone) {
    ZoneEvacuation evacuation = byZone.get(zone);
    return evacuation != null && evacuation.inForce();
  }

  /** Returns these evacuations after some changes; for each zone, the latest change counts. */
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
   * Returns these evacuations with what is newer in another node's.
   *
   * @param ownRevision the source's revision up to which nothing is missing here, 0 for nothing
   *     known: an evacuation that is not known here, and is not newer, had been lifted before
   */
  Evacuations merge(Evacuations other, long ownRevision) {
    List<ZoneEvacuation> news = new ArrayList<>(0);
    for (ZoneEvacuation evacuation : other.byZone.values()) {
      if (byZone.containsKey(evacuation.zone()) || evacuation.revision() > ownRevision) {
        news.add(evacuation);
      }
    }
    return apply(news);
  }

  /**
   * Returns these evacuations after a complete state: what is not in force in it has been lifted by
   * then, unless it is known from an earlier era of the source, and may be written again.
   *
   * @param readingRevision the source's {@link Revision} as of which that state is complete
   */
  Evacuations replaceBy(Evacuations reading, long readingRevision) {
    Map<String, ZoneEvacuation> changed = new HashMap<>(apply(reading.all()).byZone);
    for (ZoneEvacuation known : List.copyOf(changed.values())) {
      boolean lifted = known.inForce() && !reading.isInForce(known.zone());
      boolean comparable = !Revision.isOfEarlierEra(known.revision(), readingRevision);
      if (lifted && comparable && known.revision() <= readingRevision) {
        changed.put(known.zone(), new ZoneEvacuation(known.zone(), false, readingRevision));
      }
    }
    return new Evacuations(changed);
  }

  /** Returns whether one in force is known from an earlier era than that of a revision only. */
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

  /** Returns these evacuations with those lifted that are known from an earlier era only. */
  Evacuations withoutUnconfirmed(long revision) {
    Map<String, ZoneEvacuation> confirmed = new HashMap<>(byZone);
    confirmed.replaceAll(
        (zone, known) ->
            isUnconfirmed(known, revision) ? new ZoneEvacuation(zone, false, revision) : known);
    return new Evacuations(confirmed);
  }

  /** Returns the changes after a revision. */
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
