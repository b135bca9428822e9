package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.FlowNetwork;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Tests holders of a flow that a peer names by mistake, and what a balancer names to its peers. */
class PeerNamedHolderTest {
  private static final int A = 0x0A010010;
  private static final int B = 0x0A010011;
  private static final int C = 0x0A010012;
  private static final FlowId FLOW = Fleet.flow(1);
  private static final int LATE_MS = 2_000;

  private final Fleet.RecordingBalancerActions actions = new Fleet.RecordingBalancerActions();
  private final FlowBalancer balancer =
      new FlowBalancer(Fleet.POLICY, Fleet.ZONE, actions, DecisionLog.NONE, 0);
  private long nowMs = 100_000;

  private void listTargets(int... addresses) {
    balancer.onState(
        Fleet.state(
            5,
            Arrays.stream(addresses)
                .mapToObj(address -> Fleet.target(address, TargetPhase.READY, 1))
                .toArray(TargetRecord[]::new)),
        nowMs);
  }

  private void send(Segment segment) {
    balancer.onClientSegment(segment, Fleet.bytes(segment), nowMs);
  }

  private void openAtTwoTargets() {
    send(Fleet.open(FLOW, 0));
    nowMs += 200;
    send(Fleet.open(FLOW, 1));
    assertThat(actions.forwardedTo).containsNoDuplicates();
    assertThat(actions.forwardedTo).hasSize(2);
  }

  private void giveBack(int agent, GiveBackReason reason, Segment segment) {
    balancer.onGivenBack(agent, reason, 1, segment, Fleet.bytes(segment), nowMs);
  }

  // Guards against a flow that breaks although the agent of its target has reported it: the report
  // arrives after that of another balancer.
  @Test
  void reportOfTheHoldersAgentReplacesAWrongHolderThatAPeerNamed() {
    FlowNetwork network =
        new FlowNetwork(Fleet.POLICY)
            .holderNamedByPeer(FlowNetwork.OTHER, 0)
            .giveBackDelay(LATE_MS)
            .clientSends(1)
            .run(6_000);
    assertThat(network.breakingArrivals()).isEmpty();
  }

  // Guards against a flow that breaks since the client's segments follow each other closely.
  @Test
  void flowOfAWrongHolderThatAPeerNamedReachesItsTargetOnceTheSegmentIsGivenBack() {
    for (int delayMs : new int[] {0, 100, 500, 1_000}) {
      FlowNetwork network =
          new FlowNetwork(Fleet.POLICY)
              .holderNamedByPeer(FlowNetwork.OTHER, 0)
              .giveBackDelay(delayMs)
              .clientSends(3)
              .run(6_000);
      assertThat(network.hasReachedHolder()).isTrue();
      assertThat(network.breakingArrivals()).isEmpty();
    }
  }

  // Guards against a flow that stalls until the client's next retransmission is searched for.
  @Test
  void holderReportedAfterTheEndOfTheSearchGetsTheNextSegment() {
    listTargets(A, B);
    send(Fleet.data(FLOW, 101, 10));
    for (int i = 0; i < 100; i++) {
      nowMs += 20;
      balancer.onTick(nowMs);
    }
    balancer.onQueryResult(A, FLOW, FlowQueryResult.HELD, A, nowMs);
    send(Fleet.data(FLOW, 101, 10));
    assertThat(actions.forwardedTo).containsExactly(A);
  }

  // Guards against balancers that pass on a guess: the client may have continued at the first
  // target.
  @Test
  void targetIsNotNamedToPeersWhileAnotherMayHaveAcceptedTheOpening() {
    listTargets(A, B);
    openAtTwoTargets();
    send(Fleet.data(FLOW, 101, 10));
    assertThat(balancer.knownTarget(FLOW)).isEqualTo(0);
  }

  // Guards against balancers that pass on a guess: either of the first two targets may hold the
  // flow after the third one has given a segment back.
  @Test
  void targetIsNotNamedToPeersAfterItsFlowWasGivenBackWhileTwoOthersMayHoldIt() {
    listTargets(A, B, C);
    openAtTwoTargets();
    nowMs += 400;
    send(Fleet.open(FLOW, 2));
    assertThat(actions.forwardedTo).containsExactly(A, B, C);
    Segment data = Fleet.data(FLOW, 101, 10);
    send(data);
    giveBack(actions.lastForwardedTo(), GiveBackReason.NOT_HELD, data);
    assertThat(balancer.knownTarget(FLOW)).isEqualTo(0);
  }

  // Guards against a flow that is sent to, and named at, a target that has rejected its opening.
  @Test
  void targetThatRejectedTheOpeningIsNeitherSentTheFlowNorNamedToPeers() {
    listTargets(A, B);
    Segment opening = Fleet.open(FLOW, 0);
    send(opening);
    int rejecting = actions.lastForwardedTo();
    giveBack(rejecting, GiveBackReason.LEAVING, opening);
    int other = actions.lastForwardedTo();
    Segment data = Fleet.data(FLOW, 101, 10);
    send(data);
    giveBack(other, GiveBackReason.NOT_HELD, data);
    assertThat(actions.lastForwardedTo()).isEqualTo(other);
    assertThat(balancer.knownTarget(FLOW)).isNotEqualTo(rejecting);
  }

  // Guards against a flow that breaks since the agent of a target that has only accepted the
  // opening responds before the agent of the target where the client has continued.
  @Test
  void reportOfAnOpenFlowReplacesThatOfATargetThatOnlyAcceptedTheOpening() {
    FlowNetwork network =
        new FlowNetwork(Fleet.POLICY)
            .otherTargetAcceptedOpening()
            .holderResponseDelay(1)
            .giveBackDelay(LATE_MS)
            .clientSends(3)
            .run(6_000);
    assertThat(network.breakingArrivals()).isEmpty();
  }
}
