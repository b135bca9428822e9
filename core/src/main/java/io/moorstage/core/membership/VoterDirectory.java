package io.moorstage.core.membership;

import io.moorstage.core.agreement.message.LeaderHint;
import io.moorstage.core.model.Endpoint;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import javax.annotation.Nullable;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Which voters a member may ask and which of them leads, as far as it has heard. The seeds stay in
 * the list, so that a member finds the group again after all voters have changed.
 */
public final class VoterDirectory {
  private final List<Endpoint> seeds;
  private final UniformRandomProvider random;
  private List<Endpoint> voters;
  private int nextIndex;
  private long formationId;
  private long term;
  @Nullable private Endpoint leader;

  /**
   * Creates a directory.
   *
   * @param seeds control endpoints from the settings, at least one
   * @param random where the first voter to ask is drawn from
   */
  public VoterDirectory(List<Endpoint> seeds, UniformRandomProvider random) {
    this.seeds = List.copyOf(seeds);
    this.random = random;
    this.voters = this.seeds;
    this.nextIndex = random.nextInt(seeds.size());
  }

  /** Returns the leader, or null if none is known. */
  @Nullable
  public Endpoint leader() {
    return leader;
  }

  /** Returns the newest term heard of. */
  public long term() {
    return term;
  }

  /** Returns the leader, or else the next voter in turn. */
  public Endpoint nextAsked() {
    if (leader != null) {
      return leader;
    }
    nextIndex = (nextIndex + 1) % voters.size();
    return voters.get(nextIndex);
  }

  /** Returns the leader alone, or else all voters: one of them knows the leader, or leads. */
  public List<Endpoint> allAsked() {
    return leader == null ? List.copyOf(voters) : List.of(leader);
  }

  /** Returns any voter, for what each of them can answer. */
  public Endpoint anyVoter() {
    return voters.get(random.nextInt(voters.size()));
  }

  /**
   * Takes a hint; one of an older term is ignored.
   *
   * @return whether another leader is known now
   */
  public boolean onHint(LeaderHint hint) {
    // Terms start over in a group that was formed anew after all voters were lost.
    boolean otherGroup = hint.formationId() != formationId && leader == null;
    if (hint.formationId() == 0 || (hint.term() < term && !otherGroup)) {
      return false;
    }
    formationId = hint.formationId();
    Set<Endpoint> known = new LinkedHashSet<>(hint.voters());
    known.addAll(seeds);
    voters = new ArrayList<>(known);
    term = hint.term();
    if (hint.leader() == null || hint.leader().equals(leader)) {
      return false;
    }
    leader = hint.leader();
    return true;
  }

  /** Takes an answer of a leader. */
  public void onLeader(long leaderTerm, Endpoint endpoint) {
    if (leaderTerm >= term) {
      term = leaderTerm;
      leader = endpoint;
    }
  }

  /** Forgets a leader that does not answer. */
  public void onSilence() {
    leader = null;
  }
}
