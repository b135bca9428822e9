package io.moorstage.core.state;

import io.moorstage.core.flow.FlowId;

/**
 * One start of a target, as the configuration source lists it.
 *
 * @param id id of the target; identifies this start together with {@code startedAtMs} if that is
 *     reported
 * @param startedAtMs when this start began, in Unix milliseconds; 0 if the source does not report
 *     it, in which case each start has its own id
 * @param service name of the service
 * @param address IPv4 address of the machine that the target and its agent run on
 * @param zone name of the zone
 * @param capacity number of requests that the target processes at a time, 1 or more
 * @param phase phase in the target's life cycle; never ready if {@code leaving} is set
 * @param leaving whether this start is draining, or was when it was listed last; a start that
 *     drains never becomes ready again
 * @param slowStartMs how long the target is slow after its start, in milliseconds
 * @param createdRevision the source's {@link Revision} at which the target was listed first, or
 *     again after its entry had expired; orders the starts of targets at one address
 * @param createdAtStart whether this start is known to have been listed for the first time at
 *     {@code createdRevision}
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
    boolean createdAtStart,
    long revision) {

  /** Creates a record; a ready phase becomes draining if the start is leaving. */
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
        false,
        revision);
  }

  /** Returns a number that identifies this start of the target; never 0. */
  public long startNumber() {
    return FlowId.mix(id.hashCode() ^ FlowId.mix(startedAtMs)) | 1;
  }

  /**
   * Returns whether this start began after another one; false if the source does not report starts.
   */
  public boolean startedAfter(TargetRecord other) {
    return other.startedAtMs > 0 && startedAtMs > other.startedAtMs;
  }

  /** Returns whether the source lists the target. */
  public boolean isListed() {
    return phase != TargetPhase.GONE;
  }

  /** Returns this record at a later revision, at which the source no longer lists the target. */
  public TargetRecord gone(long atRevision) {
    return with(TargetPhase.GONE, leaving, atRevision);
  }

  /** Returns this record as one whose start was listed for the first time when it was created. */
  public TargetRecord asCreatedAtStart() {
    return new TargetRecord(
        id,
        startedAtMs,
        service,
        address,
        zone,
        capacity,
        phase,
        leaving,
        slowStartMs,
        createdRevision,
        true,
        revision);
  }

  /**
   * Returns whether this start was listed for the first time after a revision, so that only nodes
   * with a state beyond that revision can have opened flows at it.
   */
  public boolean isListedFirstAfter(long otherRevision) {
    return createdAtStart && createdRevision > otherRevision;
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
        createdAtStart,
        atRevision);
  }

  /**
   * Returns the combination of this record and another one of the same id: the record of the later
   * start or, for the same start, the one with the higher revision.
   *
   * <p>A start that drains does so until it ends, so its newer record stays draining even if it is
   * listed as ready. A source that was restored from an older copy lists the start as ready until
   * the target has written its entry again, and the start would get new flows meanwhile. If the
   * source does not report starts, this holds only across eras, since a newer record of the same
   * era may belong to another start.
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
    boolean isSameStart =
        startedAtMs > 0 && other.startedAtMs > 0
            || Revision.isOfEarlierEra(older.revision, newer.revision);
    boolean staysDraining = isSameStart && older.leaving && !newer.leaving;
    TargetRecord merged = staysDraining ? newer.with(newer.phase, true, newer.revision) : newer;
    boolean isSameListing =
        startedAtMs == other.startedAtMs && createdRevision == other.createdRevision;
    return isSameListing && older.createdAtStart && !newer.createdAtStart
        ? merged.asCreatedAtStart()
        : merged;
  }

  /**
   * Returns whether this target has replaced another one, of any service, at the same address.
   *
   * <p>The revision of the first listing decides, not that of the last change. A machine runs one
   * target at a time, so the other target had ended when this one was listed. The entry of the
   * other target may expire only afterwards, which makes it the record that changed last. Listings
   * of two eras cannot be compared, since a source that was restored from an older copy lists
   * targets again that have ended. The later start decides then, if the source reports starts.
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
