package io.moorstage.core;

import io.moorstage.core.agent.AgentActions;
import io.moorstage.core.agent.FlowAgent;
import io.moorstage.core.balancer.BalancerActions;
import io.moorstage.core.balancer.FlowBalancer;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.state.TargetPhase;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import javax.annotation.Nullable;

/**
 * Runs a balancer that does not know the open {@link #FLOW} with the agents of two targets on
 * simulated time. {@link #HOLDER} holds the flow and its agent knows it; the agent of {@link
 * #OTHER} has started recently, so it can't rule out that its target holds the flow.
 */
public final class FlowNetwork {
  public static final int HOLDER = 0x0A010010;
  public static final int OTHER = 0x0A010011;
  public static final FlowId FLOW = Fleet.flow(1);

  /** The period in which three segments at other targets, and none at its own, break a flow. */
  public static final int REORDER_WINDOW_MS = 2_000;

  private static final int PEER_BALANCER = 0x0A010002;
  private static final int LINK_MS = 1;
  private static final int TICK_MS = 20;
  private static final int BEACON_MS = 500;
  private static final int START_MS = 100_000;
  private static final int[] RETRANSMISSIONS_MS = {200, 600, 1_400, 3_000, 4_600};
  private static final int CAPACITY = 1;
  private static final int FIRST_BUSY_PORT = 1_000;
  private static final int BUSY_FLOWS = 4;
  private static final int TIMEOUT_MS = 3_000;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<Integer, Node> nodes = new HashMap<>();
  private final Map<String, Segment> segments = new HashMap<>();
  private final FlowBalancer balancer;
  private final List<Arrival> arrivals = new ArrayList<>();
  private long nowMs = START_MS;
  private long eventCount;

  private int heldDelayMs;
  private int giveBackDelayMs;
  private int returnDelayMs;
  private int namedByPeer;
  private int peerDelayMs;

  private record Event(long atMs, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMs == other.atMs
          ? Long.compare(number, other.number)
          : Long.compare(atMs, other.atMs);
    }
  }

  /** The arrival of a segment of the flow at a target, in milliseconds after the start. */
  public record Arrival(int target, long atMs) {
    @Override
    public String toString() {
      return (target == HOLDER ? "holder@" : "other@") + atMs;
    }
  }

  /** Creates the network; the client has not sent anything yet. */
  public FlowNetwork(ForwardingPolicy policy) {
    balancer =
        new FlowBalancer(
            policy, Fleet.ZONE, new BalancerLinks(), DecisionLog.NONE, START_MS - BEACON_MS);
    balancer.onState(
        Fleet.state(
            5,
            Fleet.target(HOLDER, TargetPhase.READY, 1),
            Fleet.target(OTHER, TargetPhase.READY, 1)),
        nowMs);
    for (int address : new int[] {HOLDER, OTHER}) {
      Node node = new Node(address, policy);
      nodes.put(address, node);
      node.agent.onTargetReport(
          new TargetReport(5, TargetPhase.READY, false, CAPACITY, 5, false, 0, 0), nowMs);
    }
    Segment response = Fleet.data(FLOW, 2, 100);
    agent(HOLDER).onTargetSegment(response, Fleet.bytes(response), nowMs);
    repeat(BEACON_MS, this::sendBeacons);
    repeat(TICK_MS, this::tick);
  }

  public FlowAgent agent(int address) {
    return nodes.get(address).agent;
  }

  /** Sets how long the balancer takes to read the responses of the holder's agent. */
  public FlowNetwork holderResponseDelay(int delayMs) {
    heldDelayMs = delayMs;
    return this;
  }

  /** Sets how long the balancer takes to read segments that an agent gives back. */
  public FlowNetwork giveBackDelay(int delayMs) {
    giveBackDelayMs = delayMs;
    return this;
  }

  /** Sets how long the agent of the other target takes to read what its target returns. */
  public FlowNetwork targetReturnDelay(int delayMs) {
    returnDelayMs = delayMs;
    return this;
  }

  /** Lets another balancer name a target as the holder. */
  public FlowNetwork holderNamedByPeer(int target, int delayMs) {
    namedByPeer = target;
    peerDelayMs = delayMs;
    return this;
  }

  /** Keeps the other target at its limit of requests for a time. */
  public FlowNetwork otherTargetBusy(int durationMs) {
    FlowAgent agent = agent(OTHER);
    for (int i = 0; i < BUSY_FLOWS; i++) {
      FlowId flow = Fleet.flow(FIRST_BUSY_PORT + i);
      forwardTo(agent, Fleet.open(flow, 0));
      agent.onTargetSegment(Fleet.accepted(flow), Fleet.bytes(Fleet.accepted(flow)), nowMs);
      forwardTo(agent, Fleet.data(flow, 101, 10));
      Segment response = Fleet.data(flow, 2, 100);
      after(durationMs, () -> agent.onTargetSegment(response, Fleet.bytes(response), nowMs));
    }
    return this;
  }

  /** Lets the other target accept a copy of the opening, which the client does not continue. */
  public FlowNetwork otherTargetAcceptedOpening() {
    FlowAgent agent = agent(OTHER);
    forwardTo(agent, Fleet.open(FLOW, 0));
    agent.onTargetSegment(Fleet.accepted(FLOW), Fleet.bytes(Fleet.accepted(FLOW)), nowMs);
    return this;
  }

  private void forwardTo(FlowAgent agent, Segment segment) {
    ForwardTerms terms = new ForwardTerms(Fleet.SERVICE, 1, TIMEOUT_MS, 0, true, false);
    agent.onForwarded(Fleet.BALANCER, terms, segment, Fleet.bytes(segment), nowMs);
  }

  /** Lets the client send segments at once, and all of them again until the holder gets one. */
  public FlowNetwork clientSends(int count) {
    for (int i = 0; i < count; i++) {
      Segment segment = Fleet.data(FLOW, 101 + 10 * i, 10);
      segments.put(segment.toString(), segment);
      after(0, () -> sendClientSegment(segment));
      for (int delayMs : RETRANSMISSIONS_MS) {
        after(
            delayMs,
            () -> {
              if (!hasReachedHolder()) {
                sendClientSegment(segment);
              }
            });
      }
    }
    return this;
  }

  private void sendClientSegment(Segment segment) {
    balancer.onClientSegment(segment, Fleet.bytes(segment), nowMs);
  }

  /** Runs the network for a time. */
  public FlowNetwork run(int durationMs) {
    long untilMs = nowMs + durationMs;
    while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
      Event event = events.remove();
      nowMs = event.atMs();
      event.action().run();
    }
    nowMs = untilMs;
    return this;
  }

  /** Returns whether a segment of the flow has reached its holder. */
  public boolean hasReachedHolder() {
    return arrivals.stream().anyMatch(arrival -> arrival.target() == HOLDER);
  }

  /**
   * Returns the first arrivals at another target that break the flow: at least three within {@link
   * #REORDER_WINDOW_MS} in which none arrives at the holder. Empty if the flow is not broken.
   */
  public List<Arrival> breakingArrivals() {
    for (Arrival first : arrivals) {
      List<Arrival> window =
          arrivals.stream()
              .filter(a -> a.atMs() >= first.atMs())
              .filter(a -> a.atMs() < first.atMs() + REORDER_WINDOW_MS)
              .toList();
      if (window.size() >= 3 && window.stream().allMatch(a -> a.target() != HOLDER)) {
        return window;
      }
    }
    return List.of();
  }

  private void after(int delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, eventCount++, action));
  }

  private void repeat(int periodMs, Runnable action) {
    action.run();
    after(periodMs, () -> repeat(periodMs, action));
  }

  private void sendBeacons() {
    for (int address : nodes.keySet()) {
      balancer.onAgentReport(Fleet.agent(address), nowMs);
    }
  }

  private void tick() {
    balancer.onTick(nowMs);
    nodes.values().forEach(node -> node.agent.onTick(nowMs));
  }

  private static byte[] copyOf(ByteBuffer datagram) {
    byte[] copy = new byte[datagram.remaining()];
    datagram.duplicate().get(copy);
    return copy;
  }

  @Nullable
  private Segment segmentOf(byte[] datagram) {
    return segments.get(new String(datagram, StandardCharsets.UTF_8));
  }

  /** Carries what the balancer sends to the agents and to another balancer. */
  private final class BalancerLinks implements BalancerActions {
    @Override
    public void forward(int agentAddress, ForwardTerms terms, ByteBuffer datagram) {
      byte[] copy = copyOf(datagram);
      after(
          LINK_MS,
          () ->
              agent(agentAddress)
                  .onForwarded(
                      Fleet.BALANCER, terms, segmentOf(copy), ByteBuffer.wrap(copy), nowMs));
    }

    @Override
    public void query(int peerAddress, FlowId flow) {
      int delayMs = peerAddress == HOLDER ? heldDelayMs : 0;
      after(
          LINK_MS,
          () -> {
            FlowQueryResult result = agent(peerAddress).onQuery(flow, nowMs);
            after(
                LINK_MS + delayMs,
                () -> balancer.onQueryResult(peerAddress, flow, result, peerAddress, nowMs));
          });
    }

    @Override
    public void flush() {}

    @Override
    public void queryBalancers(FlowId flow) {
      if (namedByPeer != 0) {
        after(
            2 * LINK_MS + peerDelayMs,
            () ->
                balancer.onQueryResult(
                    PEER_BALANCER, flow, FlowQueryResult.KNOWN_ELSEWHERE, namedByPeer, nowMs));
      }
    }

    @Override
    public void reset(FlowId flow, int sequence) {
      throw new AssertionError("open flow is reset at " + (nowMs - START_MS) + " ms");
    }

    @Override
    public void fetchState(int peerAddress, long configurationVersion) {}
  }

  /** A target with its agent. The target returns the segments of flows that it does not hold. */
  private final class Node implements AgentActions {
    private final int address;
    private final FlowAgent agent;

    private Node(int address, ForwardingPolicy policy) {
      this.address = address;
      this.agent =
          new FlowAgent(policy, Fleet.SERVICE, this, DecisionLog.NONE, START_MS - BEACON_MS);
    }

    @Override
    public void deliver(ByteBuffer datagram) {
      byte[] copy = copyOf(datagram);
      Segment segment = segmentOf(copy);
      if (segment == null) {
        return;
      }
      arrivals.add(new Arrival(address, nowMs - START_MS));
      if (address != HOLDER) {
        Segment returned = Fleet.returned(segment);
        after(returnDelayMs, () -> agent.onTargetSegment(returned, ByteBuffer.wrap(copy), nowMs));
      }
    }

    @Override
    public void sendToClient(FlowId flow, ByteBuffer datagram) {}

    @Override
    public void giveBack(
        int balancerAddress, GiveBackReason reason, long version, ByteBuffer datagram) {
      byte[] copy = copyOf(datagram);
      Segment segment = segmentOf(copy);
      if (segment != null) {
        after(
            LINK_MS + giveBackDelayMs,
            () ->
                balancer.onGivenBack(
                    address, reason, version, segment, ByteBuffer.wrap(copy), nowMs));
      }
    }

    @Override
    public void reportHeld(int balancerAddress, FlowId flow) {
      after(
          LINK_MS,
          () -> balancer.onQueryResult(address, flow, FlowQueryResult.HELD, address, nowMs));
    }

    @Override
    public void checkTarget() {}

    @Override
    public void reset(FlowId flow, int sequence) {}
  }
}
