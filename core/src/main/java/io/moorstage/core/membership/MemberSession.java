package io.moorstage.core.membership;

import io.moorstage.core.agreement.cluster.CommandCodec;
import io.moorstage.core.agreement.cluster.CommandDecodingException;
import io.moorstage.core.agreement.cluster.MemberRegistration;
import io.moorstage.core.agreement.cluster.MemberState;
import io.moorstage.core.agreement.cluster.StateDelta;
import io.moorstage.core.agreement.cluster.StateDeltas;
import io.moorstage.core.agreement.cluster.StateVersion;
import io.moorstage.core.agreement.message.Heartbeat;
import io.moorstage.core.agreement.message.HeartbeatRefusal;
import io.moorstage.core.agreement.message.HeartbeatRefusalReason;
import io.moorstage.core.agreement.message.LeaderHint;
import io.moorstage.core.agreement.message.LeaseGrant;
import io.moorstage.core.agreement.message.LeaveRequest;
import io.moorstage.core.agreement.message.RegisterRequest;
import io.moorstage.core.agreement.message.StateChunk;
import io.moorstage.core.agreement.message.StateOffer;
import io.moorstage.core.agreement.message.StateRequest;
import io.moorstage.core.message.Message;
import io.moorstage.core.message.MessageSender;
import io.moorstage.core.model.Endpoint;
import io.moorstage.core.model.TargetState;
import java.util.Arrays;
import java.util.List;
import javax.annotation.Nullable;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A daemon's side of the control protocol: it joins the fleet, holds the newest state and the lease
 * to take new work. Every daemon has one, also those that vote.
 *
 * <p>Driven by one thread, with messages and a tick every few tens of milliseconds. Times are
 * nanoseconds of a monotonic clock. The lease must be checked against a time read at that moment,
 * so that a process that wakes up late finds it ended.
 */
public final class MemberSession {
  private static final int MAX_BACKOFF_SHIFT = 4;
  private static final int CHUNK_BYTES = 8 * 1024;

  /** Silent tries after which a leader is taken to be gone. */
  private static final int TRIES_BEFORE_SILENT = 2;

  private final MemberRegistration registration;
  private final MemberSettings settings;
  private final CommandCodec codec;
  private final MessageSender sender;
  private final UniformRandomProvider random;
  private final MemberListener listener;
  private final VoterDirectory voters;
  private final StateDownload download;

  private MemberState state = MemberState.EMPTY;
  private boolean leased;
  private long leaseEndNanos;
  private boolean draining;
  private boolean left;
  private long nextHeartbeatNanos;
  private int silentTries;
  private boolean downloading;
  private long nextPullNanos;
  private int pullTries;

  /**
   * Creates a session without state or lease.
   *
   * @param registration what this daemon says of itself; a later run has a higher incarnation
   * @param seeds control endpoints of voters, at least one
   * @param settings the times
   * @param codec decodes states
   * @param sender takes outgoing messages
   * @param random randomness for backoff
   * @param listener told of newer state
   * @param nowNanos the time
   */
  public MemberSession(
      MemberRegistration registration,
      List<Endpoint> seeds,
      MemberSettings settings,
      CommandCodec codec,
      MessageSender sender,
      UniformRandomProvider random,
      MemberListener listener,
      long nowNanos) {
    this.registration = registration;
    this.settings = settings;
    this.codec = codec;
    this.sender = sender;
    this.random = random;
    this.listener = listener;
    this.voters = new VoterDirectory(seeds, random);
    this.download = new StateDownload(codec);
    // Daemons that start together spread their first heartbeats.
    this.nextHeartbeatNanos = nowNanos + random.nextLong(settings.retryNanos());
  }

  /** Returns whether this daemon may take new work now. */
  public boolean holdsLease(long nowNanos) {
    return leased && leaseEndNanos - nowNanos > 0;
  }

  /** Returns when the lease ends or ended; meaningless before the first one. */
  public long leaseEndNanos() {
    return leaseEndNanos;
  }

  /** Returns the newest state. */
  public MemberState state() {
    return state;
  }

  /** Returns the leader's control endpoint, or null if none is known. */
  @Nullable
  public Endpoint leader() {
    return voters.leader();
  }

  /** Returns what this daemon knows of the voters, for other sessions of the same daemon. */
  public VoterDirectory voters() {
    return voters;
  }

  /** Returns the newest term heard of. */
  public long term() {
    return voters.term();
  }

  /** Takes a message of the control protocol; others are ignored. */
  public void onMessage(Endpoint from, Message message, long nowNanos) {
    if (left) {
      return;
    }
    if (message instanceof LeaseGrant) {
      onLeaseGrant(from, (LeaseGrant) message, nowNanos);
    } else if (message instanceof StateOffer) {
      onStateOffer((StateOffer) message, nowNanos);
    } else if (message instanceof StateChunk) {
      onStateChunk(from, (StateChunk) message, nowNanos);
    } else if (message instanceof StateRequest) {
      onStateRequest(from, (StateRequest) message);
    } else if (message instanceof HeartbeatRefusal) {
      onHeartbeatRefusal(from, (HeartbeatRefusal) message, nowNanos);
    } else if (message instanceof LeaderHint) {
      onLeaderHint((LeaderHint) message, nowNanos);
    }
  }

  /** Sends what is due. */
  public void onTick(long nowNanos) {
    if (left) {
      return;
    }
    if (nowNanos - nextHeartbeatNanos >= 0) {
      silentTries++;
      if (silentTries > TRIES_BEFORE_SILENT) {
        voters.onSilence();
      }
      sendHeartbeat(nowNanos);
    }
    if (downloading && nowNanos - nextPullNanos >= 0) {
      pullAgain(nowNanos);
    }
  }

  /**
   * Asks that this daemon's targets get no new work, until the view says so. The lease goes on, for
   * the flows that are open.
   */
  public void drain() {
    draining = true;
    askToDrain(voters.nextAsked());
  }

  private void askToDrain(Endpoint voter) {
    boolean active =
        state.view().targets().stream()
            .anyMatch(
                target ->
                    target.incarnation() == registration.incarnation()
                        && target.agent().equals(registration.endpoint())
                        && target.state() == TargetState.ACTIVE);
    if (active) {
      sender.send(voter, new LeaveRequest(registration.nodeId(), registration.incarnation(), true));
    }
  }

  /** Gives up the lease and tells the leader that this daemon stops by plan. */
  public void leave() {
    left = true;
    leased = false;
    LeaveRequest request =
        new LeaveRequest(registration.nodeId(), registration.incarnation(), false);
    sender.send(voters.nextAsked(), request);
  }

  private void sendHeartbeat(long now) {
    Heartbeat heartbeat =
        new Heartbeat(registration.nodeId(), registration.incarnation(), state.version(), now);
    // Asked one after the other, voters that are gone would each cost a pause.
    for (Endpoint voter : voters.allAsked()) {
      sender.send(voter, heartbeat);
      if (draining) {
        askToDrain(voter);
      }
    }
    long wait = backoff(silentTries);
    // A new leader is there within a lease; a longer pause would be time without a lease.
    boolean searching = voters.leader() == null;
    nextHeartbeatNanos = now + (searching ? Math.min(wait, searchPause()) : wait);
  }

  private long searchPause() {
    long pause = settings.heartbeatIntervalNanos();
    return pause / 2 + random.nextLong(pause);
  }

  /**
   * Doubles with each silent try; half of it is random, so that many daemons do not beat as one.
   */
  private long backoff(int tries) {
    int shift = Math.min(Math.max(tries - 1, 0), MAX_BACKOFF_SHIFT);
    long wait = Math.min(settings.retryNanos() << shift, settings.maxBackoffNanos());
    return wait / 2 + random.nextLong(wait);
  }

  private void onAnswered(long now) {
    silentTries = 0;
    nextHeartbeatNanos = now + settings.heartbeatIntervalNanos();
  }

  private void onLeaseGrant(Endpoint from, LeaseGrant grant, long now) {
    boolean mine = grant.incarnation() == registration.incarnation();
    boolean sentBefore = now - grant.sentAtNanos() >= 0;
    if (!mine || !sentBefore || grant.term() < voters.term()) {
      return;
    }
    voters.onLeader(grant.term(), from);
    onAnswered(now);
    long end = grant.sentAtNanos() + grant.leaseNanos() - settings.clockDriftMarginNanos();
    if (!leased || end - leaseEndNanos > 0) {
      leased = true;
      leaseEndNanos = end;
    }
  }

  private void onStateOffer(StateOffer offer, long now) {
    if (offer.incarnation() != registration.incarnation() || !isNewer(offer.version())) {
      return;
    }
    onAnswered(now);
    if (offer.payload().length > 0 && offer.base().equals(state.version())) {
      applyOffered(offer.payload(), now);
    } else if (!downloading) {
      startDownload(now);
    }
  }

  private void applyOffered(byte[] payload, long now) {
    try {
      apply(StateDeltas.apply(state, codec.decode(payload, StateDelta.class)), now);
    } catch (CommandDecodingException e) {
      startDownload(now);
    }
  }

  private void startDownload(long now) {
    downloading = true;
    pullTries = 0;
    download.reset();
    pull(voters.nextAsked(), now);
  }

  private void pull(Endpoint voter, long now) {
    sender.send(voter, download.nextRequest(state));
    nextPullNanos = now + backoff(pullTries);
  }

  private void pullAgain(long now) {
    pullTries++;
    // Any voter that has applied the state can serve it.
    pull(voters.anyVoter(), now);
  }

  private void onStateChunk(Endpoint from, StateChunk chunk, long now) {
    if (!downloading || !isNewer(chunk.version()) || !download.add(chunk)) {
      return;
    }
    pullTries = 0;
    if (!download.isComplete()) {
      pull(from, now);
      return;
    }
    downloading = false;
    apply(download.finish(state), now);
  }

  /** Gives the leader of a group that was formed anew what this daemon has kept. */
  private void onStateRequest(Endpoint from, StateRequest request) {
    boolean mine =
        request.base().equals(StateVersion.NONE) && request.version().equals(state.version());
    if (!mine || state.version().equals(StateVersion.NONE)) {
      return;
    }
    byte[] bytes = codec.encode(state);
    if (request.offset() < 0 || request.offset() >= bytes.length) {
      return;
    }
    int end = Math.min(bytes.length, request.offset() + CHUNK_BYTES);
    sender.send(
        from,
        new StateChunk(
            request.base(),
            request.version(),
            request.offset(),
            bytes.length,
            Arrays.copyOfRange(bytes, request.offset(), end)));
  }

  private void apply(@Nullable MemberState newer, long now) {
    if (newer == null || !isNewer(newer.version())) {
      return;
    }
    state = newer;
    downloading = false;
    listener.onState(newer);
    // The heartbeat acknowledges the state and asks for the lease.
    sendHeartbeat(now);
  }

  private boolean isNewer(StateVersion version) {
    return version.isAtLeast(state.version()) && !version.equals(state.version());
  }

  private void onHeartbeatRefusal(Endpoint from, HeartbeatRefusal refusal, long now) {
    if (refusal.incarnation() != registration.incarnation()) {
      return;
    }
    silentTries = 0;
    if (refusal.reason() == HeartbeatRefusalReason.UNREGISTERED) {
      sender.send(from, new RegisterRequest(registration));
      nextHeartbeatNanos = now + backoff(1);
    } else if (refusal.reason() == HeartbeatRefusalReason.SUPERSEDED) {
      leased = false;
      nextHeartbeatNanos = now + settings.maxBackoffNanos();
    }
  }

  private void onLeaderHint(LeaderHint hint, long now) {
    boolean changed = voters.onHint(hint);
    if (changed) {
      // The silence was another leader's.
      silentTries = 0;
    }
    if (changed && !holdsLease(now)) {
      sendHeartbeat(now);
    } else if (changed) {
      nextHeartbeatNanos = now + random.nextLong(settings.retryNanos());
    }
  }
}
