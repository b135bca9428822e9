package io.moorstage.core.state;

import io.moorstage.core.flow.FlowId;

/**
 * One start of a target, as the configuration source lists it.
 *
 * @param id names the target; together with its start, where the source reports it, this start
 * @param startedAtMs when this start began, in Unix milliseconds; 0 if the source does not report
 *     it, and then another start has another id
 * @param service name of the service
 * @param address IPv4 address of the machine, where the target's agent runs too
 * @param zone name of the zone
 * @param capacity requests that it works on at a time, 1 or more
 * @param phase how far it is in its life; never ready once it is leaving
 * @param leaving whether this start drains, or did when it was listed last; it can't be undone
 * @param slowStartMs for how long after its start it is slow, in milliseconds
 * @param createdRevision the source's {@link Revision} at which it was listed first, or again after
 *     its entry had lapsed; orders the starts of targets at one address
 * @param revision the source's {@link Revision} of this record
 */
public record TargetRecord(
    String id,
    long startedAtMs,
    String service,
    int address,
    String zone,
    int capacity,
    TargetPhase phase,
    boolean leaving,
    int slowStartMs,
    long createdRevision,
    long revision) {

  /** Creates a record; that of a leaving start is never ready. */
  public TargetRecord {
    leaving |= phase == TargetPhase.DRAINING;
    if (leaving && phase == TargetPhase.READY) {
      phase = TargetPhase.DRAINING;
    }
  }

  /** Creates the record of a target whose start the source does not report. */
  public TargetRecord(
      String id,
      String service,
      int address,
      String zone,
      int capacity,
      TargetPhase phase,
      int slowStartMs,
      long createdRevision,
      long revision) {
    this(
        id,
        0,
        service,
        address,
        zone,
        capacity,
        phase,
        false,
        slowStartMs,
        createdRevision,
        revision);
  }

  /** Returns a number that names this start of the target, never 0. */
  public long startNumber() {
    return FlowId.mix(id.hashCode() ^ FlowId.mix(startedAtMs)) | 1;
  }

  /**
   * Returns whether this start began after another one; never where the source does not report it.
   */
  public boolean startedAfter(TargetRecord other) {
    return other.startedAtMs > 0 && startedAtMs > other.startedAtMs;
  }

  /** Returns whether the source lists the target. */
  public boolean isListed() {
    return phase != TargetPhase.GONE;
  }

  /** Returns this record as of a later revision at which the source no longer lists it. */
  public TargetRecord gone(long atRevision) {
    return with(TargetPhase.GONE, leaving, atRevision);
  }

  private TargetRecord with(TargetPhase otherPhase, boolean isLeaving, long atRevision) {
    return new TargetRecord(
        id,
        startedAtMs,
        service,
        address,
        zone,
        capacity,
        otherPhase,
        isLeaving,
        slowStartMs,
        createdRevision,
        atRevision);
  }

  /**
   * Returns what is known from this record and another one of the same id: that of the later start,
   * or of one start the newer.
   *
   * <p>A start that drains does so until it ends. A source that has come back from an older copy
   * lists it as ready until it has written again, and new flows would go to it meanwhile. Where the
   * source does not report starts, a newer record of the same era may be another start's.
   */
  TargetRecord merge(TargetRecord other) {
    if (startedAfter(other)) {
      return this;
    }
    if (other.startedAfter(this)) {
      return other;
    }
    boolean otherIsNewer = other.revision > revision;
    TargetRecord newer = otherIsNewer ? other : this;
    TargetRecord older = otherIsNewer ? this : other;
    boolean isOneStart =
        startedAtMs > 0 && other.startedAtMs > 0
            || Revision.isOfEarlierEra(older.revision, newer.revision);
    boolean drainsOn = isOneStart && older.leaving && !newer.leaving;
    return drainsOn ? newer.with(newer.phase, true, newer.revision) : newer;
  }

  /**
   * Returns whether this target has taken the address of another one, of whatever service.
   *
   * <p>The later listing decides, not the later change: one machine holds one target at a time, so
   * the other one had ended when this one was listed. Its own entry may lapse only afterwards,
   * which makes it the one that changed last. Listings of two eras can't be compared: a source that
   * has come back from an older copy lists again what has ended since. There the later start
   * decides where the source reports it.
   */
  public boolean supersedes(TargetRecord other) {
    if (address != other.address || id.equals(other.id)) {
      return false;
    }
    boolean isOfOtherEra = Revision.era(createdRevision) != Revision.era(other.createdRevision);
    if (isOfOtherEra && startedAtMs > 0 && other.startedAtMs > 0) {
      return startedAtMs > other.startedAtMs;
    }
    if (createdRevision != other.createdRevision) {
      return createdRevision > other.createdRevision;
    }
    return id.compareTo(other.id) > 0;
  }
}
