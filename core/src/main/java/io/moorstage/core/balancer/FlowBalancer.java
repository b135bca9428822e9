package io.moorstage.core.balancer;

import io.moorstage.core.flow.Datagrams;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.AgentReport;
import io.moorstage.core.message.FlowKnowledge;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.TargetPhase;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The balancer's decisions: which target gets a new flow, and where the segments of an open flow
 * go. Thread-safe: each call holds the lock of this shard of flows.
 */
public final class FlowBalancer {
  /**
   * Segments of clients that are kept until a configuration is known. Not measured; chosen so that
   * they take some 3 MB at most.
   */
  private static final int MAX_EARLY_SEGMENTS = 2_048;

  /**
   * For how long such a segment is worth handling. Not measured; chosen so that it lies between the
   * client's copies after 600 and 1,400 ms.
   */
  private static final int EARLY_MEMORY_MS = 1_000;

  private final ForwardingPolicy policy;
  private final BalancerActions actions;
  private final BalancerTables tables;
  private final FlowOpener opener;
  private final FlowLocator locator;
  private final boolean keepsEarlySegments;
  private final List<EarlySegment> earlySegments = new ArrayList<>();

  /** A client's segment that came before this balancer knew any configuration. */
  private record EarlySegment(Segment segment, byte[] datagram, long atMs) {}

  /**
   * Creates a balancer without state.
   *
   * @param policy times and bounds
   * @param zone the balancer's zone
   * @param actions takes what is decided
   * @param log takes each decision
   * @param nowMs the time of the start
   */
  public FlowBalancer(
      ForwardingPolicy policy, String zone, BalancerActions actions, DecisionLog log, long nowMs) {
    this.policy = policy;
    this.actions = actions;
    this.tables = new BalancerTables(policy, zone, actions, nowMs);
    this.opener = new FlowOpener(policy, actions, log, tables);
    this.locator = new FlowLocator(policy, actions, log, tables);
    this.keepsEarlySegments = policy.uses(Mechanism.EARLY_SEGMENTS);
  }

  /** Takes a newer state. */
  public synchronized void onState(FleetState newer, long nowMs) {
    tables.takeState(newer, nowMs);
    opener.onTargets(nowMs);
    if (newer.configuration().version() > 0) {
      handleEarlySegments(nowMs);
    }
  }

  // A segment that is handled late is answered sooner than one that its client has to repeat.
  private void handleEarlySegments(long nowMs) {
    List<EarlySegment> early = new ArrayList<>(earlySegments);
    earlySegments.clear();
    for (EarlySegment segment : early) {
      if (nowMs - segment.atMs() <= EARLY_MEMORY_MS) {
        onClientSegment(segment.segment(), ByteBuffer.wrap(segment.datagram()), nowMs);
      }
    }
  }

  /** The configuration source has confirmed that the state is current until some time. */
  public synchronized void onConfirmed(long untilMs) {
    opener.onConfirmed(untilMs);
  }

  /**
   * Takes what an agent reports of its target.
   *
   * @return whether the agent was silent or unknown before
   */
  public synchronized boolean onAgent(AgentReport report, long nowMs) {
    boolean appeared = tables.agents().hear(report, nowMs);
    TargetSlot unlisted = tables.agents().get(report.address()).slot();
    report(unlisted, report, nowMs);
    for (TargetSlot slot : tables.slots()) {
      if (slot.address() == report.address() && slot.record().phase() != TargetPhase.GONE) {
        report(slot, report, nowMs);
      }
    }
    if (appeared) {
      locator.askAppearedAgent(unlisted, report.service(), nowMs);
      opener.onTargets(nowMs);
    }
    return appeared;
  }

  private void report(TargetSlot slot, AgentReport report, long nowMs) {
    slot.recordBusyFlows(report.busyFlows(), nowMs);
    slot.markAgentSeen(nowMs);
    slot.recordEjection(report.targetUnfit(), policy.opening().suspicionMs(), nowMs);
    if (report.stopping() || report.targetEnded()) {
      slot.markSuspect(policy.opening().suspicionMs(), nowMs);
    }
  }

  /** Returns how many agents have sent a beacon of late. */
  public synchronized int heardAgentCount(long nowMs) {
    return tables.agents().heardCount(nowMs);
  }

  /** Returns whether agents have been heard from before, and none of them within some time. */
  public synchronized boolean hasLostAllAgents(int periodMs, long nowMs) {
    return tables.agents().hasLostAll(periodMs, nowMs);
  }

  /** Takes a segment from a client. */
  public synchronized void onClientSegment(Segment segment, ByteBuffer datagram, long nowMs) {
    if (tables.configuration().version() == 0) {
      keepEarly(segment, datagram, nowMs);
      return;
    }
    if (segment.kind() == Segment.Kind.OPEN) {
      opener.open(segment, datagram, nowMs);
      return;
    }
    BalancerFlow flow = tables.flow(segment.flow());
    if (flow == null) {
      locator.locate(segment, datagram, nowMs);
    } else {
      goOn(flow, segment, datagram, nowMs);
    }
  }

  private void keepEarly(Segment segment, ByteBuffer datagram, long nowMs) {
    if (keepsEarlySegments && earlySegments.size() < MAX_EARLY_SEGMENTS) {
      earlySegments.add(new EarlySegment(segment, Datagrams.copyOf(datagram), nowMs));
    }
  }

  private void goOn(BalancerFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    flow.used(nowMs);
    Search search = flow.search();
    if (search != null) {
      search.hold(datagram, policy.search().maxHeldSegments());
      return;
    }
    TargetSlot target = flow.target();
    if (target == null) {
      locator.startSearch(flow, segment, datagram, nowMs);
      return;
    }
    if (!flow.isAnswered()) {
      flow.confirmByClient();
      target.clearSuspicion();
    }
    tables.send(flow, target, datagram);
    if (segment.kind() == Segment.Kind.CLOSE || segment.kind() == Segment.Kind.RESET) {
      flow.close();
    }
  }

  /**
   * Takes a segment that an agent gives back.
   *
   * @param agentAddress the agent's machine
   * @param reason why it gives the segment back
   * @param agentVersion the newest configuration that the agent has seen in effect
   */
  public synchronized void onGivenBack(
      int agentAddress,
      GiveBackReason reason,
      long agentVersion,
      Segment segment,
      ByteBuffer datagram,
      long nowMs) {
    if (segment.kind() == Segment.Kind.OPEN) {
      opener.onGivenBack(agentAddress, reason, agentVersion, segment, datagram, nowMs);
    } else {
      locator.notHeld(agentAddress, segment, datagram, nowMs);
    }
  }

  /** Takes an answer of an agent or another balancer about a flow. */
  public synchronized void onKnowledge(
      int peerAddress, FlowId id, FlowKnowledge knowledge, int targetAddress, long nowMs) {
    locator.onKnowledge(peerAddress, id, knowledge, targetAddress, nowMs);
  }

  /** Answers another balancer: the address of the target that holds a flow, 0 if unknown. */
  public synchronized int knownTarget(FlowId id) {
    BalancerFlow flow = tables.flow(id);
    TargetSlot holder = flow == null ? null : flow.confirmedTarget();
    return holder == null ? 0 : holder.address();
  }

  /** Handles what is due; called every few tens of milliseconds. */
  public synchronized void onTick(long nowMs) {
    locator.onTick(nowMs);
    opener.onTick(nowMs);
    actions.flush();
  }

  /** Forgets flows that have ended or rested for long; called about once a second. */
  public synchronized void onSweep(long nowMs) {
    tables.sweep(nowMs);
  }

  /** Returns the number of flows that this balancer remembers. */
  public synchronized int flowCount() {
    return tables.flowCount();
  }
}
