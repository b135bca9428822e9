package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.FlowNetwork;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.placement.TargetPool;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests flows whose target is not confirmed as the holder, with several candidates. */
class UnconfirmedFlowEventsTest {
  private static final int FIRST_ADDRESS = 0x0A010010;
  private static final int TICK_MS = 20;
  private static final FlowId FLOW = Fleet.flow(1);
  private static final Set<Integer> SENT_AT_MS = Set.of(0, 200, 600, 1_400, 3_000, 4_600);
  private static final long START_MS = 100_000;

  private final Fleet.RecordingBalancerActions actions = new Fleet.RecordingBalancerActions();
  private final List<TargetSlot> byLikelihood = new ArrayList<>();
  private final Set<Integer> silentAgents = new HashSet<>();
  private final Set<Integer> authoritativeAgents = new HashSet<>();
  private final Map<Integer, Integer> segmentsAt = new HashMap<>();
  private FlowBalancer balancer;
  private long nowMs = START_MS;
  private int answered;
  private int seenForwards;

  private void start(int targets) {
    balancer = new FlowBalancer(Fleet.POLICY, Fleet.ZONE, actions, DecisionLog.NONE, 0);
    List<TargetRecord> records = new ArrayList<>();
    List<TargetSlot> slots = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      records.add(Fleet.target(FIRST_ADDRESS + i, TargetPhase.READY, 1));
      slots.add(new TargetSlot(records.get(i), 0));
    }
    byLikelihood.addAll(TargetPool.byLikelihood(slots, Fleet.ZONE, FLOW));
    balancer.onState(Fleet.state(5, records.toArray(new TargetRecord[0])), nowMs);
    report();
  }

  private int rank(int rank) {
    return byLikelihood.get(rank).address();
  }

  private void report() {
    for (TargetSlot slot : byLikelihood) {
      if (!silentAgents.contains(slot.address()) || nowMs == START_MS) {
        balancer.onAgentReport(Fleet.agent(slot.address()), nowMs);
      }
    }
  }

  private void respond() {
    while (answered < actions.queried.size()) {
      int agent = actions.queried.get(answered);
      answered++;
      if (!silentAgents.contains(agent)) {
        FlowQueryResult result =
            authoritativeAgents.contains(agent)
                ? FlowQueryResult.NOT_HELD
                : FlowQueryResult.UNKNOWN;
        balancer.onQueryResult(agent, FLOW, result, agent, nowMs);
      }
    }
  }

  private void send(int segments) {
    for (int i = 0; i < segments; i++) {
      Segment data = Fleet.data(FLOW, 101 + 10 * i, 10);
      balancer.onClientSegment(data, Fleet.bytes(data), nowMs);
    }
  }

  private void giveBack(int agent) {
    Segment data = Fleet.data(FLOW, 101, 10);
    balancer.onGivenBack(agent, GiveBackReason.NOT_HELD, 1, data, Fleet.bytes(data), nowMs);
  }

  /** Runs the balancer; the given targets' returned segments are read after a delay. */
  private void run(int durationMs, int burst, int holder, int giveBackDelayMs) {
    Map<Long, List<Integer>> dueGiveBacks = new HashMap<>();
    for (int passedMs = 0; passedMs <= durationMs; passedMs += TICK_MS) {
      nowMs = START_MS + passedMs;
      if (passedMs % 500 == 0) {
        report();
      }
      if (SENT_AT_MS.contains(passedMs)) {
        send(burst);
      }
      respond();
      for (int agent : dueGiveBacks.getOrDefault(nowMs, List.of())) {
        giveBack(agent);
      }
      balancer.onTick(nowMs);
      respond();
      for (; seenForwards < actions.forwardedTo.size(); seenForwards++) {
        int to = actions.forwardedTo.get(seenForwards);
        segmentsAt.merge(to, 1, Integer::sum);
        if (to != holder) {
          dueGiveBacks.computeIfAbsent(nowMs + giveBackDelayMs, k -> new ArrayList<>()).add(to);
        }
      }
    }
  }

  // Guards against a flow that breaks at several wrong targets, one after another, while the
  // balancer does not read what they return. All agents have run for less than 65 s.
  @Test
  void fewWrongTargetsGetASegmentWhileReturnsAreUnread() {
    start(60);
    int holder = rank(10);
    run(1_980, 3, holder, 1_500);
    Set<Integer> wrong = new HashSet<>(segmentsAt.keySet());
    wrong.remove(holder);
    assertThat(segmentsAt).doesNotContainKey(holder);
    assertThat(wrong.size()).isAtMost(2);
  }

  @Test
  void fewWrongTargetsGetASegmentOfOneSegmentRequestWhileReturnsAreUnread() {
    start(60);
    int holder = rank(10);
    run(1_980, 1, holder, 1_500);
    Set<Integer> wrong = new HashSet<>(segmentsAt.keySet());
    wrong.remove(holder);
    assertThat(wrong.size()).isAtMost(2);
  }

  // Guards against a flow that stalls at its holder, the second candidate, because an agent of
  // another machine never responds. The target acknowledges only every second segment.
  @Test
  void holderThatIsTheSecondCandidateGetsASecondSegmentWhileAnAgentIsUnresponsive() {
    start(3);
    silentAgents.add(rank(2));
    int holder = rank(1);
    run(10_000, 2, holder, 20);
    assertThat(segmentsAt.get(rank(0))).isEqualTo(1);
    assertThat(segmentsAt.get(holder)).isAtLeast(2);
  }

  // Guards against a flow that breaks at a target that accepted a copy of the opening which the
  // client did not continue.
  @Test
  void flowIsNotBrokenByATargetThatAcceptedACopyOfItsOpening() {
    FlowNetwork network =
        new FlowNetwork(Fleet.POLICY)
            .otherTargetAcceptedOpening()
            .holderResponseDelay(20)
            .giveBackDelay(2_500)
            .clientSends(3)
            .run(7_000);
    assertThat(network.breakingArrivals()).isEmpty();
  }

  // Guards against an entry that stays for 65 s, and counts as a flow of its target, after the
  // client has closed the flow.
  @Test
  void closeThatIsHeldForAnUnconfirmedTargetClosesTheFlow() {
    start(3);
    int holder = rank(0);
    send(1);
    respond();
    nowMs += 40;
    balancer.onTick(nowMs);
    send(1);
    Segment close = Fleet.close(FLOW, 111);
    balancer.onClientSegment(close, Fleet.bytes(close), nowMs);
    assertThat(actions.forwardedTo).hasSize(2);
    balancer.onQueryResult(holder, FLOW, FlowQueryResult.HELD, holder, nowMs);
    assertThat(actions.forwardedTo).hasSize(3);
    balancer.onSweep(nowMs + 6_000);
    assertThat(balancer.flowCount()).isEqualTo(0);
  }

  // Guards against a second copy of the offered segment at the holder, whose agent reports the flow
  // within the offer timeout.
  @Test
  void holderThatReportsTheOfferedFlowGetsItsSegmentOnce() {
    start(3);
    int holder = rank(0);
    send(1);
    respond();
    assertThat(actions.forwardedTo).containsExactly(holder);
    balancer.onQueryResult(holder, FLOW, FlowQueryResult.HELD, holder, nowMs + 5);
    assertThat(actions.forwardedTo).containsExactly(holder);
  }

  // Guards against a report that is ignored because the search has ended meanwhile: the target
  // works on a request for longer than a search lasts.
  @Test
  void reportAfterTheEndOfTheSearchLocatesTheFlow() {
    start(3);
    silentAgents.add(rank(2));
    int holder = rank(0);
    run(1_600, 1, holder, 100_000);
    balancer.onQueryResult(holder, FLOW, FlowQueryResult.HELD, holder, nowMs);
    assertThat(balancer.knownTarget(FLOW)).isEqualTo(holder);
  }

  // Guards against three segments at a target that has accepted a copy of the opening which the
  // client does not continue: this balancer has sent only that copy.
  @Test
  void targetOfALaterCopyOfTheOpeningGetsFewSegmentsBeforeItResponds() {
    start(3);
    Segment copy = Fleet.open(FLOW, 1);
    balancer.onClientSegment(copy, Fleet.bytes(copy), nowMs);
    send(3);
    assertThat(actions.forwardedTo.size() - 1).isAtMost(2);
  }

  // Guards against an open flow that is placed again, since its balancer reads the return of a copy
  // of the opening only after the client has continued the flow.
  @Test
  void openFlowIsNotPlacedAgainByALateReturnOfItsOpening() {
    start(6);
    Segment copy = Fleet.open(FLOW, 1);
    balancer.onClientSegment(copy, Fleet.bytes(copy), nowMs);
    int wrong = actions.lastForwardedTo();
    send(3);
    nowMs += 300;
    balancer.onGivenBack(wrong, GiveBackReason.FULL, 1, copy, Fleet.bytes(copy), nowMs);
    for (int i = 0; i < 3; i++) {
      giveBack(wrong);
    }
    assertThat(actions.forwardedTo.stream().distinct().count()).isEqualTo(1);
    assertThat(actions.queried).isNotEmpty();
  }

  // Guards against a tick that fails because a late copy of the opening, given back by another
  // agent, removes the target of a flow that is not confirmed.
  @Test
  void openingGivenBackLateKeepsTheTargetOfAnUnconfirmedFlow() {
    AdmissionFixture fixture = new AdmissionFixture();
    List<TargetRecord> targets = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      targets.add(Fleet.target(FIRST_ADDRESS + i, TargetPhase.READY, 1));
    }
    fixture.updateState(1, 2, targets.toArray(new TargetRecord[0]));
    for (TargetRecord target : targets) {
      fixture.report(target.address(), 65_535);
    }
    Segment copy = Fleet.open(FLOW, 1);
    fixture.send(copy);
    for (int i = 0; i < 2; i++) {
      fixture.giveBack(fixture.lastForwarded().address(), GiveBackReason.OVERLOADED, copy);
    }
    int third = fixture.lastForwarded().address();
    // Both copies wait in the third agent's queue; the balancer reads one give-back late.
    fixture.nowMs += 400;
    Segment lastCopy = Fleet.open(FLOW, 2);
    fixture.send(lastCopy);
    int last = fixture.lastForwarded().address();
    fixture.giveBack(last, GiveBackReason.OVERLOADED, lastCopy);
    Segment data = Fleet.data(FLOW, 101, 10);
    fixture.send(data);
    for (TargetRecord target : targets) {
      fixture.balancer.onQueryResult(
          target.address(), FLOW, FlowQueryResult.UNKNOWN, target.address(), fixture.nowMs);
    }
    for (int i = 0; i < 10; i++) {
      fixture.nowMs += TICK_MS;
      fixture.balancer.onTick(fixture.nowMs);
      for (TargetRecord target : targets) {
        fixture.balancer.onQueryResult(
            target.address(), FLOW, FlowQueryResult.UNKNOWN, target.address(), fixture.nowMs);
      }
    }
    fixture.giveBack(third, GiveBackReason.OVERLOADED, copy);
    for (int i = 0; i < 10; i++) {
      fixture.nowMs += TICK_MS;
      fixture.balancer.onTick(fixture.nowMs);
    }
    fixture.send(data);
    assertThat(fixture.reset).isEmpty();
  }

  // Guards against an offer that is made before the query to the holder's agent has been sent: the
  // queries of a batch are sent at the end of a tick, which may be late.
  @Test
  void noSegmentIsOfferedInATickBeforeTheBatchedQueriesAreSent() {
    start(3);
    silentAgents.add(rank(1));
    send(1);
    respond();
    nowMs += 500;
    report();
    balancer.onTick(nowMs);
    assertThat(actions.forwardedTo).isEmpty();
  }
}
