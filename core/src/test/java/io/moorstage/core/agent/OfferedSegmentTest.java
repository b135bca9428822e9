package io.moorstage.core.agent;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.FlowNetwork;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.settings.OverloadSettings;
import org.junit.jupiter.api.Test;

/** Tests segments of a flow that are offered to a target which does not hold it. */
class OfferedSegmentTest extends AgentTestBase {
  private static final FlowId FLOW = Fleet.flow(1);
  private static final int LATE_MS = 1_500;

  // Guards against a flow that breaks when the segments that have waited are delivered together.
  @Test
  void flowOfferedToATargetAtItsLimitIsNotBroken() {
    FlowNetwork network =
        new FlowNetwork(Fleet.POLICY)
            .otherTargetBusy(400)
            .holderResponseDelay(LATE_MS)
            .clientSends(3)
            .run(7_000);
    assertThat(network.breakingArrivals()).isEmpty();
  }

  // Guards against the same failure in the queue of overload control.
  @Test
  void flowOfferedToATargetAtItsLimitIsNotBrokenUnderOverloadControl() {
    FlowNetwork network =
        new FlowNetwork(Fleet.POLICY.with(OverloadSettings.STANDARD))
            .otherTargetBusy(400)
            .holderResponseDelay(LATE_MS)
            .clientSends(3)
            .run(7_000);
    assertThat(network.breakingArrivals()).isEmpty();
  }

  // Guards against a flow that breaks because its agent responds late, without any wait at a
  // target.
  @Test
  void flowOfferedToATargetWithFreePlacesIsNotBroken() {
    FlowNetwork network =
        new FlowNetwork(Fleet.POLICY).holderResponseDelay(LATE_MS).clientSends(3).run(7_000);
    assertThat(network.hasReachedHolder()).isTrue();
    assertThat(network.breakingArrivals()).isEmpty();
  }

  // Guards against a burst of segments at a wrong target whose agent reads its returns late.
  @Test
  void flowOfferedToATargetWhoseAgentReadsReturnsLateIsNotBroken() {
    FlowNetwork network =
        new FlowNetwork(Fleet.POLICY)
            .targetReturnDelay(50)
            .holderResponseDelay(LATE_MS)
            .clientSends(3)
            .run(7_000);
    assertThat(network.breakingArrivals()).isEmpty();
  }

  // Guards against further segments at a wrong target until the balancer has read the first one
  // that was given back.
  @Test
  void targetThatHasReturnedASegmentOfAFlowGetsNoMoreOfThem() {
    Segment first = Fleet.data(FLOW, 101, 10);
    forward(first);
    receiveFromTarget(Fleet.returned(first));
    forward(first);
    forward(Fleet.data(FLOW, 111, 10));
    assertThat(actions.delivered).hasSize(1);
  }

  // Guards against a second offer of the flow to the same target.
  @Test
  void flowOfWhichTheTargetHasReturnedASegmentIsReportedAsNotHeld() {
    Segment data = Fleet.data(FLOW, 101, 10);
    forward(data);
    receiveFromTarget(Fleet.returned(data));
    assertThat(agent.onQuery(FLOW, nowMs)).isEqualTo(FlowQueryResult.NOT_HELD);
  }

  // Guards against a balancer that never learns of the return, since the only message is lost.
  @Test
  void eachReturnedSegmentOfAnOfferedFlowIsGivenBack() {
    Segment first = Fleet.data(FLOW, 101, 10);
    Segment second = Fleet.data(FLOW, 111, 10);
    forward(first);
    forward(second);
    receiveFromTarget(Fleet.returned(first));
    receiveFromTarget(Fleet.returned(second));
    assertThat(actions.givenBack).containsExactly(GiveBackReason.NOT_HELD, GiveBackReason.NOT_HELD);
  }

  // Guards against a flow that breaks at a wrong target, one retransmission after another.
  @Test
  void retransmissionsOfAFlowThatWasReturnedDoNotBreakIt() {
    FlowNetwork network =
        new FlowNetwork(Fleet.POLICY)
            .holderResponseDelay(2_500)
            .giveBackDelay(LATE_MS)
            .clientSends(1)
            .run(7_000);
    assertThat(network.breakingArrivals()).isEmpty();
  }

  // Guards against a client that reuses a port and can't open a flow until the entry expires.
  @Test
  void flowThatWasReturnedCanBeOpenedAgain() {
    Segment data = Fleet.data(FLOW, 101, 10);
    forward(data);
    receiveFromTarget(Fleet.returned(data));
    forward(Fleet.open(FLOW, 0));
    receiveFromTarget(Fleet.accepted(FLOW));
    assertThat(actions.toClients).containsExactly(FLOW);
    receiveFromTarget(Fleet.data(FLOW, 2, 100));
    assertThat(agent.onQuery(FLOW, nowMs)).isEqualTo(FlowQueryResult.HELD);
  }
}
