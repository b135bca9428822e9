package io.moorstage.core.agreement;

import io.moorstage.core.agreement.cluster.ChangeVoters;
import io.moorstage.core.agreement.cluster.ClusterState;
import io.moorstage.core.agreement.cluster.ClusterStateMachine;
import io.moorstage.core.agreement.cluster.Command;
import io.moorstage.core.agreement.cluster.CommandCodec;
import io.moorstage.core.agreement.cluster.CommandDecodingException;
import io.moorstage.core.agreement.cluster.CommandType;
import io.moorstage.core.agreement.message.LeaderHint;
import io.moorstage.core.message.Message;
import io.moorstage.core.message.MessageSender;
import io.moorstage.core.model.Endpoint;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import javax.annotation.Nullable;
import org.apache.commons.rng.UniformRandomProvider;

/** What all states of a replica share: identity, term, vote, log and the applied state. */
final class ReplicaContext {
  final ReplicaSettings settings;
  final CommandCodec codec;
  final UniformRandomProvider random;
  final StateTransfers transfers;
  final SnapshotDownload snapshotDownload;

  VoterId self;
  long formationId;
  long currentTerm;
  @Nullable VoterId votedFor;
  @Nullable Endpoint leader;
  ReplicatedLog log = new ReplicatedLog();
  ClusterStateMachine machine = new ClusterStateMachine(ClusterState.EMPTY);
  long commitIndex;
  long appliedIndex;

  /** Whether an append of another replica was acknowledged, so that commits may rest on it. */
  boolean acknowledgedAppend;

  private final Map<String, Long> newestRuns = new HashMap<>();
  private final MessageSender sender;
  private long promiseUntilNanos;
  private long formationDeadlineNanos;
  private ReplicaState state;
  private List<VoterId> voters = List.of();
  private long votersIndex;
  private long checkpointIndex;
  private ClusterState checkpointState = ClusterState.EMPTY;

  ReplicaContext(
      VoterId self,
      ReplicaSettings settings,
      CommandCodec codec,
      MessageSender sender,
      UniformRandomProvider random,
      long nowNanos) {
    this.self = self;
    this.settings = settings;
    this.codec = codec;
    this.sender = sender;
    this.random = random;
    this.promiseUntilNanos = nowNanos;
    this.transfers = new StateTransfers(this);
    this.snapshotDownload = new SnapshotDownload(this);
  }

  ReplicaState state() {
    return state;
  }

  void become(ReplicaState newState, long now) {
    state = newState;
    newState.enter(now);
  }

  void send(Endpoint destination, Message message) {
    sender.send(destination, message);
  }

  /** Sends who leads, to somebody who asked the wrong replica. */
  void sendLeaderHint(Endpoint destination) {
    // Without a log, this replica knows of the group by hearsay. If that was passed on, replicas
    // could keep each other believing in a group that is gone, and never form another.
    boolean hearsay = log.lastIndex() == 0;
    long knownFormation = hearsay ? 0 : formationId;
    Endpoint knownLeader = hearsay ? null : leader;
    send(destination, new LeaderHint(knownFormation, currentTerm, knownLeader, voterEndpoints()));
  }

  List<VoterId> voters() {
    return voters;
  }

  /** Returns the index of the entry that set the voters. */
  long votersIndex() {
    return votersIndex;
  }

  List<Endpoint> voterEndpoints() {
    if (voters.isEmpty()) {
      return settings.initialVoters();
    }
    return voters.stream().map(VoterId::endpoint).collect(Collectors.toUnmodifiableList());
  }

  boolean isVoter() {
    return voters.contains(self);
  }

  int majority() {
    return voters.size() / 2 + 1;
  }

  /** Keeps out of elections until a time, or longer if that was promised before. */
  void promiseUntil(long nanos) {
    if (nanos - promiseUntilNanos > 0) {
      promiseUntilNanos = nanos;
    }
  }

  boolean isPromised(long now) {
    return now - promiseUntilNanos < 0;
  }

  /** Enters a higher term, in which no vote is given yet. */
  void enterTerm(long term) {
    if (term > currentTerm) {
      currentTerm = term;
      votedFor = null;
      leader = null;
    }
  }

  /** Returns whether a log that ends so is at least as complete as this one. */
  boolean isUpToDate(long lastIndex, long lastTerm) {
    return lastTerm > log.lastTerm()
        || (lastTerm == log.lastTerm() && lastIndex >= log.lastIndex());
  }

  /** Starts the log of a formation, whose first entry names the voters. */
  void adoptFormation(long newFormationId, List<VoterId> formationVoters, long now) {
    formationId = newFormationId;
    formationDeadlineNanos = now + settings.formationTimeoutNanos();
    append(encode(0, new ChangeVoters(formationVoters)));
  }

  /**
   * Returns whether a formation has come to nothing for so long that this replica may start over.
   * No commit can rest on it as long as it has acknowledged no append and committed nothing itself,
   * so this harms no more than a restart of the process. If it has acknowledged one, a majority of
   * the voters must be known to have restarted, after which the formation can elect nobody.
   */
  boolean isFormationStuck(long now) {
    boolean late = commitIndex == 0 && now - formationDeadlineNanos >= 0;
    return late && (!acknowledgedAppend || hasMajorityRestarted());
  }

  /** Notes that a run of a node exists. */
  void noteRun(VoterId run) {
    newestRuns.merge(run.nodeId(), run.incarnation(), Math::max);
  }

  /** Returns whether later runs of so many voters exist that they can elect nobody any more. */
  boolean hasMajorityRestarted() {
    long restarted =
        voters.stream()
            .filter(voter -> newestRuns.getOrDefault(voter.nodeId(), 0L) > voter.incarnation())
            .count();
    return restarted >= majority();
  }

  LogEntry encode(long term, Command command) {
    return new LogEntry(term, CommandType.of(command), codec.encode(command));
  }

  /** Appends an entry; voters that it names count from now on. */
  void append(LogEntry entry) {
    log.append(entry);
    if (entry.type() == CommandType.CHANGE_VOTERS) {
      voters = ((ChangeVoters) decode(entry)).voters();
      votersIndex = log.lastIndex();
    }
  }

  /** Removes entries that another leader has replaced. */
  void truncateFrom(long index) {
    if (index <= commitIndex) {
      throw new IllegalStateException("committed entry " + index + " would be replaced");
    }
    log.truncateFrom(index);
    if (votersIndex >= index) {
      findVoters();
    }
  }

  private void findVoters() {
    voters = log.snapshot().voters();
    votersIndex = log.snapshotIndex();
    for (long index = log.lastIndex(); index > log.snapshotIndex(); index--) {
      if (log.entry(index).type() == CommandType.CHANGE_VOTERS) {
        voters = ((ChangeVoters) decode(log.entry(index))).voters();
        votersIndex = index;
        return;
      }
    }
  }

  /** Applies what is committed up to an index, and compacts a long log. */
  void commitTo(long index) {
    commitIndex = Math.max(commitIndex, index);
    while (appliedIndex < commitIndex) {
      appliedIndex++;
      LogEntry entry = log.entry(appliedIndex);
      if (entry.type() != CommandType.NO_OPERATION) {
        machine.apply(decode(entry));
        transfers.onState(machine.state().memberState());
      }
      checkpoint();
    }
  }

  /**
   * Compacts the log to the last checkpoint and takes a new one. So the log keeps at least half of
   * the allowed entries, and a follower that is a little behind needs no snapshot. A checkpoint is
   * the immutable state itself and costs nothing until it is encoded.
   */
  private void checkpoint() {
    if (appliedIndex - checkpointIndex < settings.maxLogEntries() / 2) {
      return;
    }
    if (checkpointIndex > log.snapshotIndex()) {
      log.compact(checkpointIndex, checkpointState);
    }
    checkpointIndex = appliedIndex;
    checkpointState = machine.state();
  }

  /** Replaces log and state by a snapshot of the leader. */
  void install(long index, long term, ClusterState snapshot) {
    boolean held = index <= log.lastIndex() && log.term(index) == term;
    if (held) {
      // The entries after it may have been acknowledged, and so must stay.
      commitTo(index);
      return;
    }
    log.install(index, term, snapshot);
    commitIndex = index;
    appliedIndex = index;
    checkpointIndex = index;
    checkpointState = snapshot;
    machine = new ClusterStateMachine(snapshot);
    transfers.onState(snapshot.memberState());
    findVoters();
  }

  private Command decode(LogEntry entry) {
    try {
      return codec.decode(entry.command(), entry.type().commandClass());
    } catch (CommandDecodingException e) {
      // Skipping it would let this replica's state differ from the others'.
      throw new IllegalStateException("entry of type " + entry.type() + " cannot be decoded", e);
    }
  }

  /** Forgets everything and goes on as a new run, as if the process had restarted. */
  void startOver(long now) {
    self = self.withIncarnation(self.incarnation() + 1);
    formationId = 0;
    currentTerm = 0;
    votedFor = null;
    leader = null;
    log = new ReplicatedLog();
    machine = new ClusterStateMachine(ClusterState.EMPTY);
    commitIndex = 0;
    appliedIndex = 0;
    checkpointIndex = 0;
    checkpointState = ClusterState.EMPTY;
    voters = List.of();
    votersIndex = 0;
    acknowledgedAppend = false;
    becomeEmpty(now);
  }

  /** Enters the state of a replica that has just started. */
  void becomeEmpty(long now) {
    become(isInitialVoter() ? new UnformedState(this) : new LearnerState(this, now), now);
  }

  boolean isInitialVoter() {
    return settings.initialVoters().contains(self.endpoint());
  }

  long random(long boundNanos) {
    return random.nextLong(boundNanos);
  }
}
