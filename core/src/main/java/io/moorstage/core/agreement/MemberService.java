package io.moorstage.core.agreement;

import io.moorstage.core.agreement.cluster.ClusterState;
import io.moorstage.core.agreement.cluster.ExpireMembers;
import io.moorstage.core.agreement.cluster.MarkLeaving;
import io.moorstage.core.agreement.cluster.MemberKey;
import io.moorstage.core.agreement.cluster.MemberRegistration;
import io.moorstage.core.agreement.cluster.RegisterMembers;
import io.moorstage.core.agreement.cluster.StateVersion;
import io.moorstage.core.agreement.cluster.TargetIncarnation;
import io.moorstage.core.agreement.message.Heartbeat;
import io.moorstage.core.agreement.message.HeartbeatRefusal;
import io.moorstage.core.agreement.message.HeartbeatRefusalReason;
import io.moorstage.core.agreement.message.LeaseGrant;
import io.moorstage.core.agreement.message.LeaveRequest;
import io.moorstage.core.agreement.message.RegisterRequest;
import io.moorstage.core.agreement.message.StateChunk;
import io.moorstage.core.agreement.message.StateOffer;
import io.moorstage.core.model.Endpoint;
import io.moorstage.core.model.TargetEntry;
import io.moorstage.core.model.TargetState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The leader's side of the members: leases, registrations and expiry, for one term. */
final class MemberService {
  /** Members in one log entry, so that it fits into a datagram. */
  private static final int MAX_BATCH = 200;

  private static final int EXPIRY_CHECKS_PER_TIMEOUT = 8;

  private final ReplicaContext context;
  private final LeaderState leader;
  private final StateRestorer restorer;
  private final LeaseTable leases = new LeaseTable();
  private final Map<String, MemberRegistration> joining = new LinkedHashMap<>();
  private final Map<String, MemberRegistration> draining = new LinkedHashMap<>();
  private final Map<String, MemberKey> leaving = new LinkedHashMap<>();
  private final long startedNanos;
  private Map<String, MemberRegistration> members = new HashMap<>();
  private List<MemberRegistration> indexed = List.of();
  private long nextBatchNanos;
  private long nextExpiryCheckNanos;

  MemberService(ReplicaContext context, LeaderState leader, long now) {
    this.context = context;
    this.leader = leader;
    this.restorer = new StateRestorer(context, leader, now);
    this.startedNanos = now;
    this.nextBatchNanos = now;
    this.nextExpiryCheckNanos = now;
  }

  boolean isRestoring(long now) {
    return restorer.isPending(now);
  }

  LeaseTable leases() {
    return leases;
  }

  void onHeartbeat(Endpoint from, Heartbeat heartbeat, long now) {
    if (!leader.hasCommittedOwnTerm()) {
      refuse(from, heartbeat, HeartbeatRefusalReason.NO_QUORUM);
      return;
    }
    boolean newer = !context.machine.state().version().isAtLeast(heartbeat.applied());
    if (newer) {
      restorer.onNewerMember(from, heartbeat.applied(), now);
    }
    if (newer || !leader.isReady(now)) {
      refuse(from, heartbeat, HeartbeatRefusalReason.RESTORING);
      return;
    }
    MemberRegistration member = members().get(heartbeat.nodeId());
    if (member == null || member.incarnation() < heartbeat.incarnation()) {
      refuse(from, heartbeat, HeartbeatRefusalReason.UNREGISTERED);
    } else if (member.incarnation() > heartbeat.incarnation()) {
      refuse(from, heartbeat, HeartbeatRefusalReason.SUPERSEDED);
    } else {
      answer(from, heartbeat, member.key(), now);
    }
  }

  private void answer(Endpoint from, Heartbeat heartbeat, MemberKey key, long now) {
    StateVersion newest = context.machine.state().version();
    leases.acknowledge(key, heartbeat.applied(), now);
    if (!heartbeat.applied().equals(newest)) {
      byte[] payload = context.transfers.smallDelta(heartbeat.applied());
      context.send(
          from, new StateOffer(heartbeat.incarnation(), heartbeat.applied(), newest, payload));
      return;
    }
    long leaseNanos =
        Math.min(context.settings.memberLeaseNanos(), leader.leaseEndNanos(now) - now);
    if (leaseNanos <= 0) {
      refuse(from, heartbeat, HeartbeatRefusalReason.NO_QUORUM);
      return;
    }
    leases.grant(key, now + leaseNanos + context.settings.clockDriftMarginNanos(), now);
    context.send(
        from,
        new LeaseGrant(
            heartbeat.incarnation(),
            heartbeat.sentAtNanos(),
            leaseNanos,
            newest,
            context.currentTerm));
  }

  private void refuse(Endpoint to, Heartbeat heartbeat, HeartbeatRefusalReason reason) {
    context.send(to, new HeartbeatRefusal(heartbeat.incarnation(), reason));
  }

  void onRegisterRequest(RegisterRequest request) {
    MemberRegistration registration = request.registration();
    MemberRegistration known = members().get(registration.nodeId());
    if (known == null || known.incarnation() < registration.incarnation()) {
      joining.put(registration.nodeId(), registration);
    }
  }

  void onLeaveRequest(LeaveRequest request) {
    MemberKey key = new MemberKey(request.nodeId(), request.incarnation());
    if (!request.draining()) {
      leases.release(key);
    }
    MemberRegistration known = members().get(request.nodeId());
    if (known == null || !known.key().equals(key)) {
      return;
    }
    if (request.draining()) {
      draining.put(request.nodeId(), known);
    } else {
      leaving.put(request.nodeId(), key);
    }
  }

  void onStateChunk(Endpoint from, StateChunk chunk, long now) {
    restorer.onStateChunk(from, chunk, now);
  }

  void onTick(long now) {
    if (!leader.isReady(now) || !leader.holdsLeaderLease(now)) {
      return;
    }
    if (now - nextBatchNanos >= 0) {
      nextBatchNanos = now + context.settings.batchDelayNanos();
      proposeBatches(now);
    }
    if (now - nextExpiryCheckNanos >= 0) {
      long expiry = context.settings.memberExpiryNanos();
      nextExpiryCheckNanos = now + expiry / EXPIRY_CHECKS_PER_TIMEOUT;
      findExpired(expiry, now);
      leases.prune(expiry, now);
    }
  }

  private void proposeBatches(long now) {
    if (!joining.isEmpty()) {
      List<MemberRegistration> batch = new ArrayList<>();
      takeBatch(joining, batch);
      leader.propose(new RegisterMembers(List.copyOf(batch)), now);
    }
    if (!draining.isEmpty()) {
      List<MemberRegistration> batch = new ArrayList<>();
      takeBatch(draining, batch);
      proposeLeaving(batch, now);
    }
    if (!leaving.isEmpty()) {
      List<MemberKey> batch = new ArrayList<>();
      takeBatch(leaving, batch);
      leader.propose(new ExpireMembers(List.copyOf(batch)), now);
    }
  }

  private void proposeLeaving(List<MemberRegistration> members, long now) {
    List<TargetIncarnation> found = new ArrayList<>();
    for (TargetEntry target : context.machine.state().memberState().view().targets()) {
      boolean served = members.stream().anyMatch(member -> serves(member, target));
      if (served && target.state() == TargetState.ACTIVE) {
        found.add(new TargetIncarnation(target.targetId(), target.incarnation()));
      }
    }
    if (!found.isEmpty()) {
      leader.propose(new MarkLeaving(List.copyOf(found)), now);
    }
  }

  private static boolean serves(MemberRegistration member, TargetEntry target) {
    return target.incarnation() == member.incarnation() && target.agent().equals(member.endpoint());
  }

  private static <T> void takeBatch(Map<String, T> waiting, List<T> batch) {
    var iterator = waiting.values().iterator();
    while (iterator.hasNext() && batch.size() < MAX_BATCH) {
      batch.add(iterator.next());
      iterator.remove();
    }
  }

  private void findExpired(long expiryNanos, long now) {
    for (MemberRegistration member : members().values()) {
      if (leases.silentNanos(member.key(), startedNanos, now) > expiryNanos) {
        leaving.put(member.nodeId(), member.key());
      }
    }
  }

  /** Returns the members by name; indexed anew only after they have changed. */
  private Map<String, MemberRegistration> members() {
    ClusterState state = context.machine.state();
    if (state.members() != indexed) {
      indexed = state.members();
      members = new HashMap<>();
      indexed.forEach(member -> members.put(member.nodeId(), member));
    }
    return members;
  }
}
