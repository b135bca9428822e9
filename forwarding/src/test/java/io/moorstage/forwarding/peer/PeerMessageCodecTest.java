package io.moorstage.forwarding.peer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.CapacityReport;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.forwarding.state.FleetStateCodec;
import io.moorstage.forwarding.state.StateSourceException;
import io.moorstage.forwarding.state.StateSourceFailure;
import java.nio.ByteBuffer;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class PeerMessageCodecTest {
  private static final FlowId FLOW = new FlowId(0x64400007, 40_001, 0xC6120001, 443);
  private static final FlowId OTHER_FLOW = new FlowId(0x64400008, 40_002, 0xC6120001, 443);

  private static PeerMessage encodeAndDecode(PeerMessage message) {
    ByteBuffer buffer = ByteBuffer.allocate(PeerMessageCodec.MAX_BYTES);
    PeerMessageCodec.encode(message, buffer);
    return PeerMessageCodec.decode(buffer.flip());
  }

  @Test
  void decodesAForwardedSegmentUnchanged() {
    byte[] segment = {1, 2, 3, 4};
    ForwardTerms terms = new ForwardTerms("tables", 42, 900, 12, true, false);
    PeerMessage.Forward read =
        (PeerMessage.Forward)
            encodeAndDecode(new PeerMessage.Forward(terms, ByteBuffer.wrap(segment)));
    assertThat(read.terms()).isEqualTo(terms);
    assertThat(read.datagram()).isEqualTo(ByteBuffer.wrap(segment));
  }

  @Test
  void decodesTheSchedulingTermsOfAForwardedSegment() {
    byte[] segment = {1, 2, 3, 4};
    SchedulingTerms scheduling = new SchedulingTerms(261, 2, 255, 0xFFFE);
    ForwardTerms terms = new ForwardTerms("tables", 42, 900, 12, true, true, scheduling);
    PeerMessage.Forward read =
        (PeerMessage.Forward)
            encodeAndDecode(new PeerMessage.Forward(terms, ByteBuffer.wrap(segment)));
    assertThat(read.terms()).isEqualTo(terms);
    assertThat(read.datagram()).isEqualTo(ByteBuffer.wrap(segment));
  }

  @Test
  void decodesASegmentGivenBackWithItsReason() {
    PeerMessage.GiveBack read =
        (PeerMessage.GiveBack)
            encodeAndDecode(
                new PeerMessage.GiveBack(
                    GiveBackReason.LEAVING, 9, ByteBuffer.wrap(new byte[] {5})));
    assertThat(read.reason()).isEqualTo(GiveBackReason.LEAVING);
    assertThat(read.datagram().remaining()).isEqualTo(1);
  }

  @Test
  void decodesAFlowQueryAndItsResponse() {
    PeerMessage query = new PeerMessage.FlowQuery(List.of(FLOW, OTHER_FLOW));
    PeerMessage response =
        new PeerMessage.FlowQueryResponse(
            List.of(
                new PeerMessage.FlowResult(FLOW, FlowQueryResult.HELD, 7),
                new PeerMessage.FlowResult(OTHER_FLOW, FlowQueryResult.UNKNOWN, 8)));
    assertThat(encodeAndDecode(query)).isEqualTo(query);
    assertThat(encodeAndDecode(response)).isEqualTo(response);
  }

  @Test
  void largestFlowQueryAndResponseFitIntoADatagram() {
    PeerMessage query =
        new PeerMessage.FlowQuery(Collections.nCopies(PeerMessageCodec.MAX_FLOWS, FLOW));
    PeerMessage.FlowResult result = new PeerMessage.FlowResult(FLOW, FlowQueryResult.HELD, 7);
    PeerMessage response =
        new PeerMessage.FlowQueryResponse(Collections.nCopies(PeerMessageCodec.MAX_FLOWS, result));
    assertThat(encodeAndDecode(query)).isEqualTo(query);
    assertThat(encodeAndDecode(response)).isEqualTo(response);
  }

  @Test
  void rejectsAFlowQueryWithMoreFlowsThanAResponseHolds() {
    ByteBuffer buffer = ByteBuffer.allocate(PeerMessageCodec.MAX_BYTES);
    PeerMessage query =
        new PeerMessage.FlowQuery(Collections.nCopies(PeerMessageCodec.MAX_FLOWS + 1, FLOW));
    PeerMessageCodec.encode(query, buffer);
    assertThat(PeerMessageCodec.decode(buffer.flip())).isNull();
  }

  @Test
  void decodesBeacons() {
    TargetReport target =
        new TargetReport(8, TargetPhase.DRAINING, true, 5, 77, true, 1_500, 2_000);
    PeerMessage.BalancerBeacon read =
        (PeerMessage.BalancerBeacon)
            encodeAndDecode(
                new PeerMessage.BalancerBeacon(
                    8, "lac", target, false, 140, 120, new int[] {1, 2}));
    assertThat(read.target()).isEqualTo(target);
    assertThat(read.keepsCopy()).isFalse();
    assertThat(read.reportIntervalMs()).isEqualTo(140);
    assertThat(read.confirmationAgeMs()).isEqualTo(120);
    assertThat(read.balancers()).asList().containsExactly(1, 2).inOrder();

    CapacityReport capacity = new CapacityReport(65_000, 300, 512);
    PeerMessage.AgentBeacon agent =
        (PeerMessage.AgentBeacon)
            encodeAndDecode(
                new PeerMessage.AgentBeacon(
                    "s", "lac", 3, 4, true, false, true, capacity, new int[0]));
    assertThat(agent.zone()).isEqualTo("lac");
    assertThat(agent.stopping()).isTrue();
    assertThat(agent.targetEnded()).isTrue();
    assertThat(agent.busyFlows()).isEqualTo(4);
    assertThat(agent.capacityReport()).isEqualTo(capacity);
  }

  @Property(seed = "20261202", tries = 20_000)
  void decodesAnyBytesWithoutAnException(@ForAll @Size(max = 64) byte[] bytes) {
    PeerMessageCodec.decode(ByteBuffer.wrap(bytes));
  }

  @Property(seed = "20261202", tries = 5_000)
  void decodesAnyBytesAsAStateOrATypedFailure(@ForAll @Size(max = 64) byte[] bytes) {
    try {
      FleetStateCodec.decode(bytes);
    } catch (StateSourceException e) {
      assertThat(e.failure()).isEqualTo(StateSourceFailure.MALFORMED);
    }
  }
}
