package io.moorstage.core;

import io.moorstage.core.agent.AgentActions;
import io.moorstage.core.balancer.BalancerActions;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.AgentReport;
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
import io.moorstage.core.state.ZoneEvacuation;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Flows, segments and states for tests, and actions that are written down. */
public final class Fleet {
  public static final String SERVICE = "tables";
  public static final String ZONE = "z";
  public static final int SERVICE_ADDRESS = 0xC6120001;
  public static final int PORT = 443;
  public static final int BALANCER = 0x0A010001;
  public static final ForwardingPolicy POLICY = ForwardingPolicy.STANDARD;

  private Fleet() {}

  /** Returns the flow of a client port. */
  public static FlowId flow(int clientPort) {
    return new FlowId(0x64400007, clientPort, SERVICE_ADDRESS, PORT);
  }

  /** Returns a copy of the segment that opens a flow. */
  public static Segment open(FlowId flow, int copy) {
    return new Segment(flow, Segment.Kind.OPEN, copy, false, 100, copy, 0);
  }

  /** Returns a segment with data from the client. */
  public static Segment data(FlowId flow, int sequence, int bytes) {
    return new Segment(flow, Segment.Kind.DATA, 0, false, sequence, 7, bytes);
  }

  /** Returns the segment with which the client closes. */
  public static Segment close(FlowId flow, int sequence) {
    return new Segment(flow, Segment.Kind.CLOSE, 0, false, sequence, 7, 0);
  }

  /** Returns a segment as the target returns it. */
  public static Segment returned(Segment segment) {
    return new Segment(
        segment.flow(),
        segment.kind(),
        segment.copy(),
        true,
        segment.sequence(),
        segment.acknowledged(),
        segment.dataBytes());
  }

  /** Returns the segment with which the target accepts a flow. */
  public static Segment accepted(FlowId flow) {
    return new Segment(flow, Segment.Kind.OPEN_ACCEPTED, 0, false, 1, 101, 0);
  }

  /** Returns a datagram that names its segment. */
  public static ByteBuffer bytes(Segment segment) {
    return ByteBuffer.wrap(segment.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
  }

  /** Returns a target of the fleet's service and zone. */
  public static TargetRecord target(int address, TargetPhase phase, long revision) {
    return new TargetRecord("t" + address, SERVICE, address, ZONE, 2, phase, 0, 1, revision);
  }

  /** A start of a target that was listed at a revision and not changed since. */
  public static TargetRecord listed(String id, String service, int address, long revision) {
    return new TargetRecord(
        id, service, address, ZONE, 2, TargetPhase.READY, 0, revision, revision);
  }

  /** Returns a state with the first configuration. */
  public static FleetState state(long revision, TargetRecord... targets) {
    return state(revision, 1, targets);
  }

  /** Returns a state with a configuration of a version. */
  public static FleetState state(long revision, long version, TargetRecord... targets) {
    return state(revision, version, List.of(routeTo(SERVICE)), List.of(targets));
  }

  /** Returns a state with routes and targets. */
  public static FleetState state(
      long revision, long version, List<ForwardingRoute> routes, List<TargetRecord> targets) {
    return FleetState.of(
        revision,
        new ForwardingConfiguration(version, 60_000, routes, Map.of()),
        targets,
        Evacuations.NONE);
  }

  /** Returns the route of all flows here, to one service. */
  public static ForwardingRoute routeTo(String service) {
    return routeTo(new WeightedService(service, 1));
  }

  /** Returns the route of all flows here, to services by weight. */
  public static ForwardingRoute routeTo(WeightedService... services) {
    return new ForwardingRoute(SERVICE_ADDRESS, PORT, 3_000, true, List.of(services));
  }

  /** Returns a state with zones evacuated at its revision. */
  public static FleetState evacuated(FleetState state, String... zones) {
    List<ZoneEvacuation> evacuations = new ArrayList<>();
    for (String zone : zones) {
      evacuations.add(new ZoneEvacuation(zone, true, state.revision()));
    }
    return FleetState.of(
        state.revision(), state.configuration(), state.targets(), Evacuations.of(evacuations));
  }

  /** Returns a ready target of a zone. */
  public static TargetRecord targetIn(String zone, int address) {
    return new TargetRecord("t" + address, SERVICE, address, zone, 2, TargetPhase.READY, 0, 1, 1);
  }

  /** Returns what an agent of the fleet's service and zone tells. */
  public static AgentReport agent(int address) {
    return new AgentReport(address, SERVICE, ZONE, 0, false, false, false);
  }

  /** What a balancer did, one text each. */
  public static final class BalancerRecord implements BalancerActions {
    public final List<String> done = new ArrayList<>();
    public final List<Integer> forwardedTo = new ArrayList<>();

    /** The service that each forwarded segment was meant for. */
    public final List<String> forwardedFor = new ArrayList<>();

    public final List<Integer> asked = new ArrayList<>();
    public final List<FlowId> reset = new ArrayList<>();
    public final List<Integer> caughtUpFrom = new ArrayList<>();
    public int insisted;

    @Override
    public void forward(int agentAddress, ForwardTerms terms, ByteBuffer datagram) {
      forwardedTo.add(agentAddress);
      forwardedFor.add(terms.service());
      insisted += terms.insists() ? 1 : 0;
    }

    @Override
    public void query(int peerAddress, FlowId flow) {
      asked.add(peerAddress);
    }

    @Override
    public void flush() {
      done.add("flush");
    }

    @Override
    public void queryBalancers(FlowId flow) {
      done.add("ask-balancers");
    }

    @Override
    public void reset(FlowId flow, int sequence) {
      reset.add(flow);
    }

    @Override
    public void fetchState(int peerAddress, long configurationVersion) {
      caughtUpFrom.add(peerAddress);
    }

    /** Returns the address of the agent that got the last segment. */
    public int last() {
      return forwardedTo.get(forwardedTo.size() - 1);
    }
  }

  /** What an agent did. */
  public static final class AgentRecord implements AgentActions {
    public final List<String> delivered = new ArrayList<>();
    public final List<FlowId> toClients = new ArrayList<>();
    public final List<GiveBackReason> givenBack = new ArrayList<>();
    public final List<FlowId> reset = new ArrayList<>();
    public int targetChecks;

    @Override
    public void checkTarget() {
      targetChecks++;
    }

    @Override
    public void deliver(ByteBuffer datagram) {
      byte[] copy = new byte[datagram.remaining()];
      datagram.duplicate().get(copy);
      delivered.add(new String(copy, java.nio.charset.StandardCharsets.UTF_8));
    }

    @Override
    public void sendToClient(FlowId flow, ByteBuffer datagram) {
      toClients.add(flow);
    }

    @Override
    public void giveBack(int balancer, GiveBackReason reason, long version, ByteBuffer datagram) {
      givenBack.add(reason);
    }

    @Override
    public void reset(FlowId flow, int sequence) {
      reset.add(flow);
    }
  }
}
