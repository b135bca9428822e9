package io.moorstage.lab.bench;

import io.moorstage.core.agent.AgentActions;
import io.moorstage.core.agent.FlowAgent;
import io.moorstage.core.balancer.BalancerActions;
import io.moorstage.core.balancer.FlowBalancer;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.state.Evacuations;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import io.moorstage.core.state.WeightedService;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Creates balancers and agents that hold many open flows, for measurements. */
final class OpenFlows {
  private static final String SERVICE = "tables";
  private static final int TARGETS = 7;
  private static final int FIRST_TARGET = 0x0A020001;
  private static final int BALANCER = 0x0A010001;
  private static final int FIRST_CLIENT = 0x64400001;
  private static final int CLIENT_PORT = 1024;
  private static final int SERVICE_ADDRESS = 0xC6120001;
  private static final int SERVICE_PORT = 443;
  private static final int TIMEOUT_MS = 2_500;
  private static final ForwardTerms TERMS =
      new ForwardTerms(SERVICE, 1, TIMEOUT_MS, 0, true, false);
  private static final int SEGMENT_BYTES = 132;
  private static final int DATA_BYTES = 100;

  private OpenFlows() {}

  /** Returns the identity of the flow with the given number. */
  static FlowId flow(int number) {
    return new FlowId(FIRST_CLIENT + number, CLIENT_PORT, SERVICE_ADDRESS, SERVICE_PORT);
  }

  /** Returns a data segment from a flow's client. */
  static Segment data(FlowId flow) {
    return new Segment(flow, Segment.Kind.DATA, 0, false, 1_000, 1, DATA_BYTES);
  }

  /** Returns a datagram with the length of a data segment: 32 bytes of header, 100 of data. */
  static ByteBuffer datagram() {
    return ByteBuffer.allocateDirect(SEGMENT_BYTES);
  }

  /** Returns a balancer that holds open flows. */
  static FlowBalancer balancer(int flows) {
    FlowBalancer balancer =
        new FlowBalancer(
            ForwardingPolicy.STANDARD, "z", new NoBalancerActions(), DecisionLog.NONE, 0);
    balancer.onState(state(), 0);
    ByteBuffer datagram = datagram();
    for (int number = 0; number < flows; number++) {
      FlowId flow = flow(number);
      balancer.onClientSegment(opening(flow), datagram, 0);
      balancer.onClientSegment(data(flow), datagram, 0);
    }
    return balancer;
  }

  /** Returns an agent that holds open flows, each with one completed request. */
  static FlowAgent agent(int flows) {
    FlowAgent agent =
        new FlowAgent(
            ForwardingPolicy.STANDARD, SERVICE, new NoAgentActions(), DecisionLog.NONE, 0);
    ByteBuffer datagram = datagram();
    for (int number = 0; number < flows; number++) {
      FlowId flow = flow(number);
      agent.onForwarded(BALANCER, TERMS, opening(flow), datagram, 0);
      agent.onTargetSegment(response(flow, Segment.Kind.OPEN_ACCEPTED, 0), datagram, 0);
      agent.onForwarded(BALANCER, TERMS, data(flow), datagram, 0);
      agent.onTargetSegment(response(flow, Segment.Kind.DATA, DATA_BYTES), datagram, 0);
    }
    return agent;
  }

  private static Segment opening(FlowId flow) {
    return new Segment(flow, Segment.Kind.OPEN, 0, false, 999, 0, 0);
  }

  private static Segment response(FlowId flow, Segment.Kind kind, int dataBytes) {
    return new Segment(flow, kind, 0, false, 1, 1_000, dataBytes);
  }

  private static FleetState state() {
    List<TargetRecord> targets = new ArrayList<>();
    for (int number = 0; number < TARGETS; number++) {
      targets.add(
          new TargetRecord(
              "t" + number, SERVICE, FIRST_TARGET + number, "z", 5, TargetPhase.READY, 0, 1, 1));
    }
    ForwardingRoute route =
        new ForwardingRoute(
            SERVICE_ADDRESS,
            SERVICE_PORT,
            TIMEOUT_MS,
            true,
            List.of(new WeightedService(SERVICE, 1)));
    return FleetState.of(
        1,
        new ForwardingConfiguration(1, 60_000, List.of(route), Map.of()),
        targets,
        Evacuations.NONE);
  }

  private static final class NoBalancerActions implements BalancerActions {
    @Override
    public void forward(int agentAddress, ForwardTerms terms, ByteBuffer datagram) {}

    @Override
    public void query(int peerAddress, FlowId flow) {}

    @Override
    public void flush() {}

    @Override
    public void queryBalancers(FlowId flow) {}

    @Override
    public void reset(FlowId flow, int sequence) {}

    @Override
    public void fetchState(int peerAddress, long configurationVersion) {}
  }

  private static final class NoAgentActions implements AgentActions {
    @Override
    public void checkTarget() {}

    @Override
    public void reportHeld(int balancerAddress, FlowId flow) {}

    @Override
    public void deliver(ByteBuffer datagram) {}

    @Override
    public void sendToClient(FlowId flow, ByteBuffer datagram) {}

    @Override
    public void giveBack(
        int balancerAddress, GiveBackReason reason, long version, ByteBuffer datagram) {}

    @Override
    public void reset(FlowId flow, int sequence) {}
  }
}
