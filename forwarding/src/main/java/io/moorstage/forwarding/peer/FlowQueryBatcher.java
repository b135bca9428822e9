package io.moorstage.forwarding.peer;

import io.moorstage.core.flow.FlowId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Batches queries for flows by the node that they are for. The first query to a node is sent at
 * once; those that follow within one batch interval are sent together.
 *
 * <p>A balancer that has restarted queries a dozen nodes for each of some hundred flows within its
 * first second. With one datagram for each query, queries and responses were three times as many as
 * the clients' own datagrams. Not thread-safe.
 */
public final class FlowQueryBatcher {
  /** Bounds the memory for the times of the last queries; they are dropped above this number. */
  private static final int MAX_NODES = 1_024;

  private final int batchIntervalMs;
  private final Sender sender;
  private final Map<Integer, Long> lastSentMs = new HashMap<>();
  private final Map<Integer, List<FlowId>> pending = new HashMap<>();

  /** Sends a query. */
  public interface Sender {
    /** Sends a query for one or more flows to a node. */
    void send(PeerMessage.FlowQuery query, int address);
  }

  public FlowQueryBatcher(int batchIntervalMs, Sender sender) {
    this.batchIntervalMs = batchIntervalMs;
    this.sender = sender;
  }

  /** Queries a node for a flow, either now or with the next {@link #flush}. */
  public void query(int address, FlowId flow, long nowMs) {
    List<FlowId> batch = pending.get(address);
    if (batch == null
        && nowMs - lastSentMs.getOrDefault(address, nowMs - batchIntervalMs) >= batchIntervalMs) {
      lastSentMs.put(address, nowMs);
      sender.send(new PeerMessage.FlowQuery(List.of(flow)), address);
      return;
    }
    if (batch == null) {
      batch = new ArrayList<>();
      pending.put(address, batch);
    }
    batch.add(flow);
    if (batch.size() >= PeerMessageCodec.MAX_FLOWS) {
      send(address, batch, nowMs);
      pending.remove(address);
    }
  }

  /** Sends the pending queries; called at least once in each batch interval. */
  public void flush(long nowMs) {
    if (lastSentMs.size() > MAX_NODES) {
      lastSentMs.clear();
    }
    pending.forEach((address, flows) -> send(address, flows, nowMs));
    pending.clear();
  }

  private void send(int address, List<FlowId> flows, long nowMs) {
    lastSentMs.put(address, nowMs);
    sender.send(new PeerMessage.FlowQuery(List.copyOf(flows)), address);
  }
}
