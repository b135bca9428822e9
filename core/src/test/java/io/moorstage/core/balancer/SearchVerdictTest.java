package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.SearchSettings;
import io.moorstage.core.state.TargetPhase;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the outcome of a search that has no agent left to query and may make no offer. */
class SearchVerdictTest {
  private static final SearchSettings SETTINGS = Fleet.POLICY.search();
  private static final long BALANCER_STARTED_AT_MS = 10_000;
  private static final long AGENTS_KNOWN_AT_MS =
      BALANCER_STARTED_AT_MS + SETTINGS.agentDiscoveryMs() + 1;

  private final TargetSlot target =
      new TargetSlot(Fleet.target(0x0A010010, TargetPhase.READY, 1), 0);

  private BalancerTables tables = newTables();

  private static BalancerTables newTables() {
    return new BalancerTables(
        Fleet.POLICY, Fleet.ZONE, new Fleet.RecordingBalancerActions(), BALANCER_STARTED_AT_MS);
  }

  private static Search searchStartedAt(long nowMs) {
    BalancerFlow flow = BalancerFlow.unknown(Fleet.flow(1), Fleet.SERVICE, nowMs);
    return new Search(flow, 7, nowMs);
  }

  private SearchVerdict verdictOf(Search search, long nowMs) {
    return SearchVerdict.of(search, SETTINGS, tables.knowsAllAgents(nowMs), nowMs);
  }

  @BeforeEach
  void reportAgent() {
    tables.agents().recordReport(Fleet.agent(target.address()), BALANCER_STARTED_AT_MS);
  }

  @Test
  void flowIsHeldByNoneOnceAllAgentsHaveResponded() {
    Search search = searchStartedAt(AGENTS_KNOWN_AT_MS);

    assertThat(verdictOf(search, AGENTS_KNOWN_AT_MS)).isEqualTo(SearchVerdict.HELD_BY_NONE);
  }

  @Test
  void balancerThatMayNotKnowAllAgentsYetQueriesAgain() {
    Search search = searchStartedAt(BALANCER_STARTED_AT_MS);

    assertThat(verdictOf(search, AGENTS_KNOWN_AT_MS - 1)).isEqualTo(SearchVerdict.QUERY_AGAIN);
  }

  @Test
  void balancerThatHasReadNoBeaconQueriesAgain() {
    tables = newTables();
    Search search = searchStartedAt(AGENTS_KNOWN_AT_MS);

    assertThat(verdictOf(search, AGENTS_KNOWN_AT_MS)).isEqualTo(SearchVerdict.QUERY_AGAIN);
  }

  @Test
  void unresponsiveAgentIsQueriedAgainUntilTheMaximumDurationOfTheSearch() {
    Search search = searchStartedAt(AGENTS_KNOWN_AT_MS);
    search.addUnresponsive(target);
    long endOfSearchMs = AGENTS_KNOWN_AT_MS + SETTINGS.durationMs();

    assertThat(verdictOf(search, endOfSearchMs - 1)).isEqualTo(SearchVerdict.QUERY_AGAIN);
    assertThat(verdictOf(search, endOfSearchMs)).isEqualTo(SearchVerdict.GIVE_UP);
  }

  @Test
  void flowIsNotResetWhileATargetMayHoldItThatMustNotBeOfferedASegment() {
    Search search = searchStartedAt(AGENTS_KNOWN_AT_MS);
    search.addNotOfferable(target);

    assertThat(verdictOf(search, AGENTS_KNOWN_AT_MS)).isEqualTo(SearchVerdict.QUERY_AGAIN);
    search.exclude(target.address());
    assertThat(verdictOf(search, AGENTS_KNOWN_AT_MS)).isEqualTo(SearchVerdict.HELD_BY_NONE);
  }

  @Test
  void flowIsNotResetWhileACandidateForAnOfferRemains() {
    Search search = searchStartedAt(AGENTS_KNOWN_AT_MS);
    search.addCandidate(target);

    assertThat(verdictOf(search, AGENTS_KNOWN_AT_MS)).isEqualTo(SearchVerdict.QUERY_AGAIN);
  }
}
