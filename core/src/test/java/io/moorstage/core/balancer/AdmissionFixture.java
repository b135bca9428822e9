package io.moorstage.core.balancer;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.Decision;
import io.moorstage.core.message.AgentReport;
import io.moorstage.core.message.CapacityReport;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.OverloadSettings;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.TargetRecord;
import io.moorstage.core.state.WeightedService;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** A balancer with overload control in virtual time, and a record of what it does. */
final class AdmissionFixture implements BalancerActions {
  static final ForwardingPolicy POLICY = Fleet.POLICY.with(OverloadSettings.STANDARD);
  static final long PERIOD = 588_000;
  static final int OBJECTIVE_MS = 261;

  /** A segment that the balancer has forwarded, with its terms. */
  record Forwarded(int address, ForwardTerms terms) {
    int rank() {
      return terms.scheduling().rank();
    }
  }

  final List<Forwarded> forwarded = new ArrayList<>();
  final List<FlowId> reset = new ArrayList<>();

  /** The decisions and their reasons, as {@code reset-no-target overloaded}. */
  final List<String> decisions = new ArrayList<>();

  final FlowBalancer balancer;
  long nowMs = 100_000;

  AdmissionFixture() {
    this(POLICY);
  }

  AdmissionFixture(ForwardingPolicy policy) {
    balancer = new FlowBalancer(policy, Fleet.ZONE, this, this::record, 0);
    balancer.setOrderPeriod(PERIOD);
  }

  private void record(Decision decision, FlowId flow, int address, String reason, long ageMs) {
    decisions.add(decision.logName() + " " + reason);
  }

  /** Returns a route of the flows of {@link Fleet#flow} with a priority. */
  static ForwardingRoute route(int priority) {
    return new ForwardingRoute(
        Fleet.SERVICE_ADDRESS,
        Fleet.PORT,
        2_091,
        true,
        OBJECTIVE_MS,
        priority,
        List.of(new WeightedService(Fleet.SERVICE, 1)));
  }

  void updateState(long version, int priority, TargetRecord... targets) {
    FleetState state = Fleet.state(version, version, List.of(route(priority)), List.of(targets));
    balancer.onState(state, nowMs);
  }

  void report(int agent, int admittedRank) {
    report(agent, Fleet.ZONE, admittedRank);
  }

  void report(int agent, String zone, int admittedRank) {
    CapacityReport capacity = new CapacityReport(0, 0, admittedRank);
    balancer.onAgentReport(
        new AgentReport(agent, Fleet.SERVICE, zone, 0, false, false, false, capacity), nowMs);
  }

  void send(Segment segment) {
    balancer.onClientSegment(segment, Fleet.bytes(segment), nowMs);
  }

  void giveBack(int agent, GiveBackReason reason, Segment segment) {
    balancer.onGivenBack(agent, reason, 1, segment, Fleet.bytes(segment), nowMs);
  }

  List<Integer> forwardedTo() {
    List<Integer> addresses = new ArrayList<>();
    forwarded.forEach(segment -> addresses.add(segment.address()));
    return addresses;
  }

  Forwarded lastForwarded() {
    return forwarded.get(forwarded.size() - 1);
  }

  String lastDecision() {
    return decisions.get(decisions.size() - 1);
  }

  /** Returns the rank of an opening of a client in the current period. */
  static int rank(int priority, int clientAddress) {
    return priority << 8 | ClientOrder.of(clientAddress, PERIOD);
  }

  @Override
  public void forward(int agentAddress, ForwardTerms terms, ByteBuffer datagram) {
    forwarded.add(new Forwarded(agentAddress, terms));
  }

  @Override
  public void query(int peerAddress, FlowId flow) {}

  @Override
  public void flush() {}

  @Override
  public void queryBalancers(FlowId flow) {}

  @Override
  public void reset(FlowId flow, int sequence) {
    reset.add(flow);
  }

  @Override
  public void fetchState(int peerAddress, long configurationVersion) {}
}
