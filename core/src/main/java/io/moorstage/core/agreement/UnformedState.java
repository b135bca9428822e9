package io.moorstage.core.agreement;

import io.moorstage.core.agreement.message.AppendRequest;
import io.moorstage.core.agreement.message.FormationAcceptance;
import io.moorstage.core.agreement.message.FormationProbe;
import io.moorstage.core.agreement.message.FormationProposal;
import io.moorstage.core.agreement.message.FormationStage;
import io.moorstage.core.agreement.message.FormationStatus;
import io.moorstage.core.agreement.message.LeaderHint;
import io.moorstage.core.agreement.message.VoteRequest;
import io.moorstage.core.model.Endpoint;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import javax.annotation.Nullable;

/**
 * An initial voter that knows of no group. It asks the other initial voters; only when all say that
 * they are empty, the one with the lowest endpoint proposes a formation that names the current run
 * of each. A replica accepts one formation at most; if that does not get going in time, it goes on
 * as a new run.
 */
final class UnformedState extends ReplicaState {
  private final Map<Endpoint, FormationStatus> emptyPeers = new HashMap<>();
  private final Set<VoterId> accepted = new HashSet<>();
  @Nullable private FormationProposal proposal;
  private long nextProbeNanos;

  UnformedState(ReplicaContext context) {
    super(context);
  }

  @Override
  ReplicaRole role() {
    return ReplicaRole.UNFORMED;
  }

  @Override
  void enter(long now) {
    nextProbeNanos = now;
  }

  @Override
  void onTick(long now) {
    if (proposal != null && context.isFormationStuck(now)) {
      context.startOver(now);
      return;
    }
    if (now - nextProbeNanos < 0) {
      return;
    }
    nextProbeNanos = now + context.settings.learnerIntervalNanos();
    if (proposal != null) {
      sendProposal();
      return;
    }
    // Answers count for one round only, so that a formation rests on fresh ones.
    emptyPeers.clear();
    for (Endpoint voter : context.settings.initialVoters()) {
      if (!voter.equals(context.self.endpoint())) {
        context.send(voter, new FormationProbe(context.self));
      }
    }
    proposeIfAllEmpty(now);
  }

  @Override
  void onFormationProbe(Endpoint from, FormationProbe probe, long now) {
    FormationStage stage = proposal == null ? FormationStage.EMPTY : FormationStage.ACCEPTED;
    context.send(
        from,
        new FormationStatus(
            context.self, stage, context.formationId, null, probe.sender().incarnation()));
  }

  @Override
  void onFormationStatus(Endpoint from, FormationStatus status, long now) {
    if (proposal != null) {
      return;
    }
    if (status.stage() == FormationStage.FORMED) {
      becomeLearner(status.formationId(), status.leader(), now);
    } else if (status.stage() == FormationStage.EMPTY && isToThisRun(status)) {
      emptyPeers.put(status.sender().endpoint(), status);
      proposeIfAllEmpty(now);
    }
  }

  /** A voter that told an earlier run that it was empty may hold accepted entries by now. */
  private boolean isToThisRun(FormationStatus status) {
    return status.askerIncarnation() == context.self.incarnation();
  }

  private void proposeIfAllEmpty(long now) {
    Endpoint first = Collections.min(context.settings.initialVoters());
    boolean allEmpty = emptyPeers.size() == context.settings.initialVoters().size() - 1;
    if (!first.equals(context.self.endpoint()) || !allEmpty) {
      return;
    }
    List<VoterId> voters = new ArrayList<>();
    voters.add(context.self);
    emptyPeers.values().forEach(status -> voters.add(status.sender()));
    voters.sort(Comparator.comparing(VoterId::endpoint));
    // Zero stands for no formation.
    long formationId = context.random.nextLong(1, Long.MAX_VALUE);
    proposal = new FormationProposal(formationId, context.self, List.copyOf(voters));
    context.adoptFormation(formationId, proposal.voters(), now);
    accepted.add(context.self);
    sendProposal();
    completeIfAllAccepted(now);
  }

  private void sendProposal() {
    for (VoterId voter : proposal.voters()) {
      if (!accepted.contains(voter)) {
        context.send(voter.endpoint(), proposal);
      }
    }
  }

  @Override
  void onFormationProposal(Endpoint from, FormationProposal received, long now) {
    if (proposal != null || !received.voters().contains(context.self)) {
      return;
    }
    context.adoptFormation(received.formationId(), received.voters(), now);
    context.send(from, new FormationAcceptance(received.formationId(), context.self));
    context.become(FollowerState.afterFormation(context, false), now);
  }

  @Override
  void onFormationAcceptance(FormationAcceptance acceptance, long now) {
    if (proposal != null && acceptance.formationId() == proposal.formationId()) {
      accepted.add(acceptance.sender());
      completeIfAllAccepted(now);
    }
  }

  private void completeIfAllAccepted(long now) {
    if (accepted.containsAll(proposal.voters())) {
      context.become(FollowerState.afterFormation(context, true), now);
    }
  }

  /** Another voter of the formation may stand for election before this one knows of all. */
  @Override
  void onVoteRequest(Endpoint from, VoteRequest request, long now) {
    if (proposal != null && request.formationId() == proposal.formationId()) {
      context.become(FollowerState.afterFormation(context, false), now);
      context.state().onVoteRequest(from, request, now);
    }
  }

  @Override
  void onAppendRequest(Endpoint from, AppendRequest request, long now) {
    if (proposal == null) {
      becomeLearner(request.formationId(), from, now);
    } else if (request.formationId() == proposal.formationId()) {
      context.become(FollowerState.afterFormation(context, false), now);
      context.state().onAppendRequest(from, request, now);
    }
  }

  @Override
  void onLeaderHint(LeaderHint hint, long now) {
    // Without a leader, the sender may know of the group by hearsay only, and the group be gone;
    // probes tell whether a voter holds anything of it.
    if (proposal == null && hint.formationId() != 0 && hint.leader() != null) {
      becomeLearner(hint.formationId(), hint.leader(), now);
    }
  }

  private void becomeLearner(long formationId, @Nullable Endpoint leader, long now) {
    context.formationId = formationId;
    context.leader = leader;
    context.become(new LearnerState(context, now), now);
  }
}
