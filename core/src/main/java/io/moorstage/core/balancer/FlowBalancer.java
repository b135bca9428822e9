package io.moorstage.core.balancer;

import io.moorstage.core.flow.Datagrams;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.AgentReport;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.placement.TargetSlot;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.TargetPhase;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Handles the events of one shard of flows: places new flows at targets, forwards the segments of
 * open flows and locates flows whose target is unknown. Thread-safe: each call holds the lock of
 * the shard.
 */
public final class FlowBalancer {
  /**
   * The maximum number of client segments buffered until the first configuration arrives. They take
   * up to about 3 MB.
   */
  private static final int MAX_EARLY_SEGMENTS = 2_048;

  /**
   * How long a buffered segment stays valid, in milliseconds. The bound lies between the client's
   * retransmissions after 600 and 1,400 ms.
   */
  private static final int EARLY_SEGMENT_TTL_MS = 1_000;

  /**
   * The interval of agents' reports, in milliseconds, until {@link #setReportInterval} is called:
   * the period of beacons of an agent whose load does not change.
   */
  private static final int INITIAL_REPORT_INTERVAL_MS = 500;

  private final ForwardingPolicy policy;
  private final BalancerActions actions;
  private final BalancerTables tables;
  private final FlowOpener opener;
  private final FlowLocator locator;
  private final boolean buffersEarlySegments;
  private final List<EarlySegment> earlySegments = new ArrayList<>();
  private int reportIntervalMs = INITIAL_REPORT_INTERVAL_MS;

  /** A client segment that arrived before the first configuration. */
  private record EarlySegment(Segment segment, byte[] datagram, long receivedAtMs) {}

  /**
   * Creates a balancer without state.
   *
   * @param policy timeouts, limits and enabled mechanisms
   * @param zone the balancer's zone
   * @param actions executes the decisions
   * @param log records each decision
   * @param nowMs the start time, in milliseconds of the monotonic clock
   */
  public FlowBalancer(
      ForwardingPolicy policy, String zone, BalancerActions actions, DecisionLog log, long nowMs) {
    this.policy = policy;
    this.actions = actions;
    this.tables = new BalancerTables(policy, zone, actions, nowMs);
    this.opener = new FlowOpener(policy, actions, log, tables);
    this.locator = new FlowLocator(policy, actions, log, tables);
    this.buffersEarlySegments = policy.uses(Mechanism.EARLY_SEGMENTS);
  }

  /**
   * Applies a newer fleet state, retries waiting openings, and handles the buffered early segments
   * if the state has a configuration.
   */
  public synchronized void onState(FleetState newer, long nowMs) {
    tables.updateState(newer, nowMs);
    opener.retryWaiting(nowMs);
    if (newer.configuration().version() > 0) {
      handleEarlySegments(nowMs);
    }
  }

  // Handling a buffered segment late still gives a faster response than waiting for the client's
  // next retransmission.
  private void handleEarlySegments(long nowMs) {
    List<EarlySegment> early = new ArrayList<>(earlySegments);
    earlySegments.clear();
    for (EarlySegment segment : early) {
      if (nowMs - segment.receivedAtMs() <= EARLY_SEGMENT_TTL_MS) {
        onClientSegment(segment.segment(), ByteBuffer.wrap(segment.datagram()), nowMs);
      }
    }
  }

  /**
   * Sets the number of the current period of the order of clients under overload. All balancers
   * derive it from the time of day, so that they agree on the order.
   */
  public synchronized void setOrderPeriod(long period) {
    tables.setOrderPeriod(period);
  }

  /**
   * Sets the interval of reports that this balancer requests of its agents, in milliseconds. The
   * validity of the admitted ranks in further reports follows from it.
   */
  public synchronized void setReportInterval(int intervalMs) {
    reportIntervalMs = intervalMs;
  }

  /** Records until when the configuration source has confirmed the state as current. */
  public synchronized void onConfirmed(long untilMs) {
    opener.onConfirmed(untilMs);
  }

  /**
   * Records an agent's report about its target. If the agent has become active, queries it about
   * the flows that are being searched for, and retries waiting openings.
   *
   * @return whether the agent was unknown or inactive before and is not stopping
   */
  public synchronized boolean onAgentReport(AgentReport report, long nowMs) {
    boolean becameActive = tables.agents().recordReport(report, nowMs);
    TargetSlot unlisted = tables.agents().get(report.address()).slot();
    updateSlot(unlisted, report, nowMs);
    for (TargetSlot slot : tables.slots()) {
      if (slot.address() == report.address() && slot.record().phase() != TargetPhase.GONE) {
        updateSlot(slot, report, nowMs);
      }
    }
    if (becameActive) {
      locator.queryAvailableAgent(unlisted, report.service(), nowMs);
      opener.retryWaiting(nowMs);
    }
    return becameActive;
  }

  private void updateSlot(TargetSlot slot, AgentReport report, long nowMs) {
    slot.recordBusyFlows(report.busyFlows(), nowMs);
    slot.recordCapacity(report.capacityReport(), reportIntervalMs, nowMs);
    slot.markAgentSeen(nowMs);
    slot.recordEjection(report.targetEjected(), policy.opening().suspicionMs(), nowMs);
    if (report.stopping() || report.targetEnded()) {
      slot.markSuspect(policy.opening().suspicionMs(), nowMs);
    }
  }

  /**
   * Returns the largest ratio, of all services, of the service time of the slowest tenth of the
   * targets to that of the fastest tenth; 1 while no service times are known.
   */
  public synchronized double serviceTimeSpread(long nowMs) {
    return tables.serviceTimeSpread(nowMs);
  }

  /** Returns how many agents have sent a beacon within {@code agentTimeoutMs}. */
  public synchronized int activeAgentCount(long nowMs) {
    return tables.agents().activeCount(nowMs);
  }

  /**
   * Returns whether agents have sent beacons, but none of them within the last {@code periodMs}
   * milliseconds.
   */
  public synchronized boolean hasLostAllAgents(int periodMs, long nowMs) {
    return tables.agents().hasLostAll(periodMs, nowMs);
  }

  /** Handles a segment from a client. */
  public synchronized void onClientSegment(Segment segment, ByteBuffer datagram, long nowMs) {
    if (tables.configuration().version() == 0) {
      bufferEarlySegment(segment, datagram, nowMs);
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
      continueFlow(flow, segment, datagram, nowMs);
    }
  }

  private void bufferEarlySegment(Segment segment, ByteBuffer datagram, long nowMs) {
    if (buffersEarlySegments && earlySegments.size() < MAX_EARLY_SEGMENTS) {
      earlySegments.add(new EarlySegment(segment, Datagrams.copyOf(datagram), nowMs));
    }
  }

  private void continueFlow(BalancerFlow flow, Segment segment, ByteBuffer datagram, long nowMs) {
    flow.markUsed(nowMs);
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
    Search unconfirmed = flow.unconfirmedSearch();
    if (unconfirmed != null) {
      locator.forwardUnconfirmed(unconfirmed, segment, datagram, nowMs);
    } else if (flow.hasTargetResponded()) {
      tables.send(flow, target, datagram);
    } else {
      target.clearSuspicion();
      if (flow.confirmByClient()) {
        tables.send(flow, target, datagram);
      } else {
        locator.startSearchAt(target, flow, segment, datagram, nowMs);
      }
    }
    if (segment.kind() == Segment.Kind.CLOSE || segment.kind() == Segment.Kind.RESET) {
      flow.close();
    }
  }

  /**
   * Handles a segment that an agent gave back to this balancer.
   *
   * @param agentAddress the address of the agent's machine
   * @param reason why the agent gave the segment back
   * @param agentVersion the newest configuration version that the agent has seen in effect
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
      locator.onGivenBack(agentAddress, reason, segment, datagram, nowMs);
    }
  }

  /** Handles the response of an agent or another balancer to a query about a flow. */
  public synchronized void onQueryResult(
      int peerAddress, FlowId id, FlowQueryResult result, int targetAddress, long nowMs) {
    locator.onQueryResult(peerAddress, id, result, targetAddress, nowMs);
  }

  /** Returns the address of the target known to hold a flow, for another balancer; 0 if unknown. */
  public synchronized int knownTarget(FlowId id) {
    BalancerFlow flow = tables.flow(id);
    TargetSlot holder = flow == null ? null : flow.confirmedTarget();
    return holder == null ? 0 : holder.address();
  }

  /**
   * Handles expired waits and sends the batched queries. The caller invokes this every few tens of
   * milliseconds.
   */
  public synchronized void onTick(long nowMs) {
    // A search must not take an agent for unresponsive whose query has not been sent.
    actions.flush();
    locator.onTick(nowMs);
    opener.onTick(nowMs);
    actions.flush();
  }

  /** Evicts closed and idle flows and stale agents. The caller invokes this about once a second. */
  public synchronized void onSweep(long nowMs) {
    tables.sweep(nowMs);
  }

  /**
   * Returns the lowest admission level of all services: openings of a higher rank are reset. It is
   * {@link SchedulingTerms#ADMIT_ALL} if no opening is, as without overload control.
   */
  public synchronized int lowestAdmissionLevel(long nowMs) {
    return opener.lowestAdmissionLevel(nowMs);
  }

  /** Returns the number of flows in this balancer's flow table. */
  public synchronized int flowCount() {
    return tables.flowCount();
  }
}
