package io.moorstage.core.agreement;

import io.moorstage.core.agreement.cluster.MemberKey;
import io.moorstage.core.agreement.cluster.StateVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The member leases that one leader has granted in one term.
 *
 * <p>A new leader starts with an empty table: the leases of the leader before it ended with that
 * leader's own lease, before the election. Each run of a node has its own row, since the run before
 * a restart may still be acting. Times are nanoseconds.
 */
public final class LeaseTable {
  private final Map<MemberKey, Row> rows = new HashMap<>();

  /** Notes that a member acts on a version and was heard. */
  public void acknowledge(MemberKey member, StateVersion applied, long nowNanos) {
    Row row = row(member, nowNanos);
    row.lastHeardNanos = nowNanos;
    // Datagrams may arrive out of order; a member never goes back.
    if (applied.isAtLeast(row.applied)) {
      row.applied = applied;
    }
  }

  /** Notes that a lease was granted until a time on the leader's clock. */
  public void grant(MemberKey member, long untilNanos, long nowNanos) {
    Row row = row(member, nowNanos);
    if (!row.leased || untilNanos - row.untilNanos > 0) {
      row.leased = true;
      row.untilNanos = untilNanos;
    }
  }

  /** Notes that a member has given up its lease by itself. */
  public void release(MemberKey member) {
    rows.remove(member);
  }

  /** Returns whether no lease is held by a member that has not acknowledged a version. */
  public boolean isInForce(StateVersion version, long nowNanos) {
    for (Row row : rows.values()) {
      if (row.isLagging(version, nowNanos)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the members that hold a lease and have not acknowledged a version. */
  public List<MemberKey> lagging(StateVersion version, long nowNanos) {
    List<MemberKey> members = new ArrayList<>();
    rows.forEach(
        (member, row) -> {
          if (row.isLagging(version, nowNanos)) {
            members.add(member);
          }
        });
    return members;
  }

  /** Returns for how long a member has been silent, given since when it could have been heard. */
  public long silentNanos(MemberKey member, long listeningSinceNanos, long nowNanos) {
    Row row = rows.get(member);
    return nowNanos - (row == null ? listeningSinceNanos : row.lastHeardNanos);
  }

  /** Forgets members that were silent for long and hold no lease. */
  public void prune(long silenceNanos, long nowNanos) {
    Iterator<Row> iterator = rows.values().iterator();
    while (iterator.hasNext()) {
      Row row = iterator.next();
      boolean leased = row.leased && row.untilNanos - nowNanos > 0;
      if (!leased && nowNanos - row.lastHeardNanos > silenceNanos) {
        iterator.remove();
      }
    }
  }

  private Row row(MemberKey member, long nowNanos) {
    return rows.computeIfAbsent(member, key -> new Row(nowNanos));
  }

  private static final class Row {
    private StateVersion applied = StateVersion.NONE;
    private long lastHeardNanos;
    private boolean leased;
    private long untilNanos;

    private Row(long nowNanos) {
      lastHeardNanos = nowNanos;
    }

    private boolean isLagging(StateVersion version, long nowNanos) {
      return leased && untilNanos - nowNanos > 0 && !applied.isAtLeast(version);
    }
  }
}
