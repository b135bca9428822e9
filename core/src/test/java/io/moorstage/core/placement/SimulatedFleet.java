package io.moorstage.core.placement;

import io.moorstage.core.Fleet;
import io.moorstage.core.agent.AgentActions;
import io.moorstage.core.agent.FlowAgent;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Balancers, agents and targets of capacity 1 in virtual time. The placement and the agents are
 * those of the product; the targets serve requests in order of arrival.
 */
final class SimulatedFleet {
  private static final int TICK_MS = 20;
  private static final int MIN_REPORT_MS = 100;
  private static final int REPORT_MS = 500;
  private static final int ZONES = 3;

  /** Outliers are left to another mechanism, and their ejection would hide the choice. */
  private static final Set<Mechanism> WITHOUT =
      Set.of(Mechanism.OUTLIER_DETECTION, Mechanism.OUTLIER_REFUSAL);

  final List<Target> targets = new ArrayList<>();
  final List<Request> served = new ArrayList<>();
  private final ForwardingPolicy policy;
  private final List<Balancer> balancers = new ArrayList<>();
  private final List<Flow> flows = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparing(Event::number));
  private final Random random;
  private double nowMs = 1_000;
  private long eventCount;

  private record Event(double atMs, long number, Runnable action) {}

  /**
   * A request, with the times at which its client sent it, it arrived, and the client got the
   * answer.
   */
  record Request(
      Flow flow, double sentAtMs, double arrivedAtMs, double workMs, double[] answeredAtMs) {
    double responseMs() {
      return answeredAtMs[0] - sentAtMs;
    }
  }

  /** A balancer's slots and pool. */
  private static final class Balancer {
    private final List<TargetSlot> slots = new ArrayList<>();
    private TargetPool pool;
  }

  /** An open flow at a target. */
  static final class Flow {
    private final FlowId id;
    private final int index;
    private final Target target;
    private final TargetSlot slot;
    private int clientSequence = 101;
    private int targetSequence = 2;
    private boolean closesAfterAnswer;

    private Flow(FlowId id, int index, Target target, TargetSlot slot) {
      this.id = id;
      this.index = index;
      this.target = target;
      this.slot = slot;
    }

    Target target() {
      return target;
    }
  }

  /** A target and its agent. */
  final class Target implements AgentActions {
    private final int index;
    private final Deque<Request> queue = new ArrayDeque<>();
    private final double[] reportedAtMs = new double[balancers.size()];
    private final int[] reportedBusyFlows = new int[balancers.size()];
    private FlowAgent agent;
    private Request working;
    double speed;
    boolean reports = true;
    int placedFlows;

    private Target(int index, double speed) {
      this.index = index;
      this.speed = speed;
      restartAgent();
    }

    void restartAgent() {
      agent = new FlowAgent(policy, Fleet.SERVICE, this, DecisionLog.NONE, now());
      startTarget(1);
    }

    void startTarget(long startNumber) {
      TargetReport report =
          new TargetReport(startNumber, TargetPhase.READY, false, 1, startNumber, false, 0, 0);
      agent.onTargetReport(report, now());
    }

    int serviceTimeTenthsMs() {
      return agent.capacityReport().serviceTimeTenthsMs();
    }

    int heldFlows() {
      return agent.capacityReport().heldFlows();
    }

    private void tick() {
      agent.onTick(now());
      for (int i = 0; i < balancers.size(); i++) {
        int busy = agent.busyFlows();
        double elapsedMs = nowMs - reportedAtMs[i];
        boolean isDue =
            elapsedMs >= (busy == reportedBusyFlows[i] ? REPORT_MS : MIN_REPORT_MS) && reports;
        if (isDue) {
          reportedAtMs[i] = nowMs;
          reportedBusyFlows[i] = busy;
          TargetSlot slot = balancers.get(i).slots.get(index);
          slot.recordBusyFlows(busy, now());
          slot.recordCapacity(agent.capacityReport(), REPORT_MS, now());
        }
      }
      after(TICK_MS, this::tick);
    }

    private void workOnNext() {
      if (working == null && !queue.isEmpty()) {
        working = queue.pollFirst();
        after(working.workMs() / speed, this::answer);
      }
    }

    private void answer() {
      Request request = working;
      working = null;
      request.answeredAtMs()[0] = nowMs;
      served.add(request);
      send(request.flow(), Segment.Kind.DATA, request.flow().targetSequence, 100);
      request.flow().targetSequence += 100;
      workOnNext();
      if (request.flow().closesAfterAnswer) {
        close(request.flow());
      }
    }

    private void send(Flow flow, Segment.Kind kind, int sequence, int bytes) {
      Segment segment = new Segment(flow.id, kind, 0, false, sequence, flow.clientSequence, bytes);
      agent.onTargetSegment(segment, ByteBuffer.allocate(0), now());
    }

    private void forward(Flow flow, Segment.Kind kind, int sequence, int bytes, int request) {
      Segment segment = new Segment(flow.id, kind, 0, false, sequence, 7, bytes);
      ByteBuffer datagram = ByteBuffer.allocate(8).putInt(flow.index).putInt(request).flip();
      ForwardTerms terms = new ForwardTerms(Fleet.SERVICE, 1, 1_636, 0, true, false);
      agent.onForwarded(Fleet.BALANCER, terms, segment, datagram, now());
    }

    @Override
    public void deliver(ByteBuffer datagram) {
      Flow flow = flows.get(datagram.getInt(0));
      int request = datagram.getInt(4);
      if (request == OPENING) {
        after(0, () -> send(flow, Segment.Kind.OPEN_ACCEPTED, 1, 0));
      } else if (request != CLOSE) {
        queue.addLast(requests.get(request));
        workOnNext();
      }
    }

    @Override
    public void reportHeld(int balancerAddress, FlowId flow) {}

    @Override
    public void checkTarget() {
      after(0, () -> agent.onTargetCheck(false, now()));
    }

    @Override
    public void sendToClient(FlowId flow, ByteBuffer datagram) {}

    @Override
    public void giveBack(int balancer, GiveBackReason reason, long version, ByteBuffer datagram) {
      throw new AssertionError("given back: " + reason);
    }

    @Override
    public void reset(FlowId flow, int sequence) {
      throw new AssertionError("reset");
    }
  }

  private static final int OPENING = -1;
  private static final int CLOSE = -2;
  private final List<Request> requests = new ArrayList<>();

  SimulatedFleet(int balancerCount, double[] speeds, long seed, Set<Mechanism> switchedOff) {
    random = new Random(seed);
    Set<Mechanism> without = new HashSet<>(WITHOUT);
    without.addAll(switchedOff);
    policy = ForwardingPolicy.STANDARD.without(without);
    for (int i = 0; i < balancerCount; i++) {
      balancers.add(new Balancer());
    }
    for (int i = 0; i < speeds.length; i++) {
      Target target = new Target(i, speeds[i]);
      targets.add(target);
      after(random.nextDouble() * TICK_MS, target::tick);
      for (Balancer balancer : balancers) {
        TargetRecord record =
            new TargetRecord(
                "t" + i, Fleet.SERVICE, 1 + i, "z" + i % ZONES, 1, TargetPhase.READY, 0, 1, 1);
        balancer.slots.add(new TargetSlot(record, 0));
      }
    }
    for (int i = 0; i < balancerCount; i++) {
      Balancer balancer = balancers.get(i);
      balancer.pool = new TargetPool(Fleet.SERVICE, "z" + i % ZONES, balancer.slots, policy);
    }
  }

  private long now() {
    return (long) nowMs;
  }

  double nowMs() {
    return nowMs;
  }

  Random random() {
    return random;
  }

  double spread() {
    return balancers.get(0).pool.serviceTimeSpread(now());
  }

  /** Replaces what all balancers know of a target, as after its restart. */
  void replaceSlots(Target target) {
    for (Balancer balancer : balancers) {
      TargetRecord record = balancer.slots.get(target.index).record();
      balancer.slots.set(target.index, new TargetSlot(record, now()));
      balancer.pool =
          new TargetPool(Fleet.SERVICE, record.zone(), List.copyOf(balancer.slots), policy);
    }
  }

  void after(double delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, eventCount++, action));
  }

  void runUntil(double untilMs) {
    while (events.peek().atMs() <= untilMs) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
    nowMs = untilMs;
  }

  /** Returns the work of a request: log-normal with sigma 0.5, of which 3% take 7 times as long. */
  static double work(double meanMs, Random random) {
    double factor = Math.min(6, Math.exp(0.5 * random.nextGaussian() - 0.125));
    return meanMs * factor * (random.nextDouble() < 0.03 ? 7 : 1);
  }

  /** Opens a flow through a random balancer. */
  Flow open() {
    Balancer balancer = balancers.get(random.nextInt(balancers.size()));
    int index = flows.size();
    FlowId id =
        new FlowId(0x64400007 + index / 50_000, 1_000 + index % 50_000, 0xC6120001, Fleet.PORT);
    TargetSlot slot = balancer.pool.choose(id, List.of(), now());
    Target target = targets.get(slot.address() - 1);
    Flow flow = new Flow(id, index, target, slot);
    flows.add(flow);
    slot.addFlow();
    target.placedFlows++;
    target.forward(flow, Segment.Kind.OPEN, 100, 0, OPENING);
    return flow;
  }

  /** Sends a request on an open flow. */
  void request(Flow flow, double sentAtMs, double workMs) {
    requests.add(new Request(flow, sentAtMs, nowMs, workMs, new double[1]));
    flow.target.forward(flow, Segment.Kind.DATA, flow.clientSequence, 10, requests.size() - 1);
    flow.clientSequence += 10;
  }

  /** Sends requests on an open flow, from now on, with random pauses. */
  void repeat(Flow flow, double meanPauseMs) {
    request(flow, nowMs, work(19.7, random));
    after(-Math.log(1 - random.nextDouble()) * meanPauseMs, () -> repeat(flow, meanPauseMs));
  }

  /** Closes a flow. */
  void close(Flow flow) {
    flow.slot.removeFlow();
    flow.target.forward(flow, Segment.Kind.CLOSE, flow.clientSequence, 0, CLOSE);
    flow.target.send(flow, Segment.Kind.CLOSE, flow.targetSequence, 0);
  }

  /** Starts requests with a flow each, from now on, by a Poisson process. */
  void startRequests(double perMs, double meanWorkMs) {
    double sentAtMs = nowMs;
    double workMs = work(meanWorkMs, random);
    Flow flow = open();
    flow.closesAfterAnswer = true;
    after(8 + random.nextInt(20), () -> request(flow, sentAtMs, workMs));
    double pauseMs = -Math.log(1 - random.nextDouble()) / perMs;
    after(pauseMs, () -> startRequests(perMs, meanWorkMs));
  }
}
