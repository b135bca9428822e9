package io.moorstage.forwarding.peer;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.flow.FlowId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FlowQueryBatcherTest {
  private static final int BATCH_INTERVAL_MS = 20;
  private static final int AGENT = 5;
  private static final int OTHER_AGENT = 6;

  private final List<List<FlowId>> sent = new ArrayList<>();
  private final FlowQueryBatcher batcher =
      new FlowQueryBatcher(BATCH_INTERVAL_MS, (query, address) -> sent.add(query.flows()));

  private static FlowId flow(int port) {
    return new FlowId(0x64400007, port, 0xC6120001, 443);
  }

  @Test
  void firstQueryToEachNodeIsSentAtOnce() {
    batcher.query(AGENT, flow(1), 100);
    batcher.query(OTHER_AGENT, flow(1), 100);
    assertThat(sent).containsExactly(List.of(flow(1)), List.of(flow(1)));
  }

  @Test
  void queriesWithinABatchIntervalAreSentTogether() {
    batcher.query(AGENT, flow(1), 100);
    batcher.query(AGENT, flow(2), 101);
    batcher.query(AGENT, flow(3), 119);
    assertThat(sent).hasSize(1);
    batcher.flush(120);
    assertThat(sent.get(1)).containsExactly(flow(2), flow(3)).inOrder();
  }

  @Test
  void queryAfterAnIdleBatchIntervalIsSentAtOnce() {
    batcher.query(AGENT, flow(1), 100);
    batcher.flush(120);
    batcher.query(AGENT, flow(2), 120);
    assertThat(sent).hasSize(2);
  }

  @Test
  void fullBatchIsSentAtOnce() {
    for (int port = 0; port <= PeerMessageCodec.MAX_FLOWS; port++) {
      batcher.query(AGENT, flow(port), 100);
    }
    assertThat(sent).hasSize(2);
    assertThat(sent.get(1)).hasSize(PeerMessageCodec.MAX_FLOWS);
  }
}
