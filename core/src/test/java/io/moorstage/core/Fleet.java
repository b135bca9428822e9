package io.moorstage.core;

import io.moorstage.core.agent.AgentActions;
import io.moorstage.core.balancer.BalancerActions;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.message.AgentReport;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.state.ColdStart;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Builds flows, segments and states for tests, and records the actions of balancers and agents. */
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

  /**
   * Returns a segment that opens a flow.
   *
   * @param copy which copy of the opening segment it is, counted from 0
   */
  public static Segment open(FlowId flow, int copy) {
    return new Segment(flow, Segment.Kind.OPEN, copy, false, 100, copy, 0);
  }

  /** Returns a data segment from the client. */
  public static Segment data(FlowId flow, int sequence, int bytes) {
    return new Segment(flow, Segment.Kind.DATA, 0, false, sequence, 7, bytes);
  }

  /** Returns a segment that closes the client's direction of a flow. */
  public static Segment close(FlowId flow, int sequence) {
    return new Segment(flow, Segment.Kind.CLOSE, 0, false, sequence, 7, 0);
  }

  /** Returns a client's segment as its target returns it. */
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

  /** Returns the segment with which a target accepts a flow. */
  public static Segment accepted(FlowId flow) {
    return new Segment(flow, Segment.Kind.OPEN_ACCEPTED, 0, false, 1, 101, 0);
  }

  /** Returns a datagram that contains the text of its segment. */
  public static ByteBuffer bytes(Segment segment) {
    return ByteBuffer.wrap(segment.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
  }

  /** Returns a target of {@link #SERVICE} in {@link #ZONE}, first listed at revision 1. */
  public static TargetRecord target(int address, TargetPhase phase, long revision) {
    return new TargetRecord("t" + address, SERVICE, address, ZONE, 2, phase, 0, 1, revision);
  }

  /** Returns a ready target that was first listed at a revision and has not changed since. */
  public static TargetRecord listed(String id, String service, int address, long revision) {
    return new TargetRecord(
        id, service, address, ZONE, 2, TargetPhase.READY, 0, revision, revision);
  }

  /** Returns a state with version 1 of the configuration. */
  public static FleetState state(long revision, TargetRecord... targets) {
    return state(revision, 1, targets);
  }

  /** Returns a state with a version of the configuration, which has one route. */
  public static FleetState state(long revision, long version, TargetRecord... targets) {
    return state(revision, version, List.of(routeTo(SERVICE)), List.of(targets));
  }

  /** Returns a state with routes and targets; the configuration names all their services. */
  public static FleetState state(
      long revision, long version, List<ForwardingRoute> routes, List<TargetRecord> targets) {
    return FleetState.of(
        revision,
        new ForwardingConfiguration(version, 60_000, routes, servicesOf(targets)),
        targets,
        Evacuations.NONE);
  }

  private static Map<String, ColdStart> servicesOf(List<TargetRecord> targets) {
    Map<String, ColdStart> services = new HashMap<>();
    targets.forEach(target -> services.put(target.service(), ColdStart.UNLIMITED));
    return services;
  }

  /** Returns a route of the flows of {@link #flow} to one service. */
  public static ForwardingRoute routeTo(String service) {
    return routeTo(new WeightedService(service, 1));
  }

  /** Returns a route of the flows of {@link #flow} to services by weight. */
  public static ForwardingRoute routeTo(WeightedService... services) {
    return new ForwardingRoute(SERVICE_ADDRESS, PORT, 3_000, true, List.of(services));
  }

  /** Returns a copy of a state in which zones are evacuated, as of its revision. */
  public static FleetState evacuated(FleetState state, String... zones) {
    List<ZoneEvacuation> evacuations = new ArrayList<>();
    for (String zone : zones) {
      evacuations.add(new ZoneEvacuation(zone, true, state.revision()));
    }
    return FleetState.of(
        state.revision(), state.configuration(), state.targets(), Evacuations.of(evacuations));
  }

  /** Returns a ready target of {@link #SERVICE} in a zone. */
  public static TargetRecord targetIn(String zone, int address) {
    return new TargetRecord("t" + address, SERVICE, address, zone, 2, TargetPhase.READY, 0, 1, 1);
  }

  /** Returns the report of an idle agent of {@link #SERVICE} in {@link #ZONE}. */
  public static AgentReport agent(int address) {
    return new AgentReport(address, SERVICE, ZONE, 0, false, false, false);
  }

  /** Records the actions of a balancer. */
  public static final class RecordingBalancerActions implements BalancerActions {
    /** Names of the calls of flush and queryBalancers. */
    public final List<String> otherCalls = new ArrayList<>();

    public final List<Integer> forwardedTo = new ArrayList<>();

    /** The service in the terms of each forwarded segment. */
    public final List<String> forwardedFor = new ArrayList<>();

    public final List<Integer> queried = new ArrayList<>();
    public final List<FlowId> reset = new ArrayList<>();
    public final List<Integer> stateFetchedFrom = new ArrayList<>();

    /** Number of forwarded segments whose terms override an ejection. */
    public int ejectionOverrides;

    @Override
    public void forward(int agentAddress, ForwardTerms terms, ByteBuffer datagram) {
      forwardedTo.add(agentAddress);
      forwardedFor.add(terms.service());
      ejectionOverrides += terms.overridesEjection() ? 1 : 0;
    }

    @Override
    public void query(int peerAddress, FlowId flow) {
      queried.add(peerAddress);
    }

    @Override
    public void flush() {
      otherCalls.add("flush");
    }

    @Override
    public void queryBalancers(FlowId flow) {
      otherCalls.add("query-balancers");
    }

    @Override
    public void reset(FlowId flow, int sequence) {
      reset.add(flow);
    }

    @Override
    public void fetchState(int peerAddress, long configurationVersion) {
      stateFetchedFrom.add(peerAddress);
    }

    /** Returns the address of the agent to which the last segment was forwarded. */
    public int lastForwardedTo() {
      return forwardedTo.get(forwardedTo.size() - 1);
    }
  }

  /** Records the actions of an agent. */
  public static final class RecordingAgentActions implements AgentActions {
    public final List<String> delivered = new ArrayList<>();
    public final List<FlowId> toClients = new ArrayList<>();
    public final List<GiveBackReason> givenBack = new ArrayList<>();
    public final List<FlowId> reportedHeld = new ArrayList<>();
    public final List<FlowId> reset = new ArrayList<>();
    public int targetChecks;

    @Override
    public void checkTarget() {
      targetChecks++;
    }

    @Override
    public void reportHeld(int balancer, FlowId flow) {
      reportedHeld.add(flow);
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
