package io.moorstage.core.agent;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.SchedulingTerms;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Replays a load on several agents with small targets, in virtual time and without a network.
 * Clients repeat openings after 200 and 600 ms, give up after 1,400 ms, and repeat a failed attempt
 * 200 ms later from the same address, at most twice. The balancer is ideal: it places an opening at
 * the less loaded of two random agents, and again at the least loaded one, at most twice.
 */
final class OverloadReplay {
  static final int NETWORK_MS = 1;
  private static final int TICK_MS = 20;
  private static final int SWEEP_MS = 1_000;
  private static final int MAX_PLACEMENTS = 3;
  private static final int MAX_ATTEMPTS = 3;
  private static final int RETRY_MS = 200;
  private static final int GIVE_UP_MS = 1_400;
  private static final int[] COPIES_MS = {200, 600};
  private static final int ORDER_PERIOD_MS = 3_000;
  private static final int CLIENTS = 4_000;
  private static final double SIGMA = 0.5;
  private static final int MAX_WORK_FACTOR = 6;
  private static final int LAST_ADDRESS_BITS = 0x64400000;

  /** Requests of one kind from one zone. */
  record Kind(
      int priority, int zone, double perS, double meanWorkMs, int objectiveMs, int timeoutMs) {}

  /** A client's request with all its attempts. */
  static final class Request {
    final Kind kind;
    final long startedMs;
    final int clientAddress;
    final double workMs;
    int attempts;
    long answeredMs = -1;

    Request(Kind kind, long startedMs, int clientAddress, double workMs) {
      this.kind = kind;
      this.startedMs = startedMs;
      this.clientAddress = clientAddress;
      this.workMs = workMs;
    }

    boolean isAnswered() {
      return answeredMs >= 0;
    }

    boolean isInTime() {
      return isAnswered() && answeredMs - startedMs <= kind.objectiveMs();
    }

    boolean hasLeft(long nowMs) {
      return isAnswered() || nowMs - startedMs >= kind.timeoutMs();
    }
  }

  /** One flow of a request. */
  static final class Attempt {
    final Request request;
    final FlowId flow;
    final long startedMs;
    final Set<ReplayNode> tried = new HashSet<>();
    ReplayNode node;
    int openingsOut;
    boolean opened;
    boolean ended;

    Attempt(Request request, FlowId flow, long startedMs) {
      this.request = request;
      this.flow = flow;
      this.startedMs = startedMs;
    }
  }

  private record Event(long atMs, long sequence, Runnable action) {}

  final List<Request> requests = new ArrayList<>();

  /** For each rejection the time since the attempt began, divided by the request's objective. */
  final List<Double> rejectionTimes = new ArrayList<>();

  final List<ReplayNode> nodes = new ArrayList<>();
  final Map<FlowId, Attempt> attempts = new HashMap<>();
  final Random random;
  final double serviceMs;

  /** For each opening given back as overload its wait at the agent, divided by the objective. */
  final List<Double> waitsBeforeGiveBack = new ArrayList<>();

  /** Openings of priority 2 that were delivered while one of priority 1 could be in time. */
  int overtaken;

  /** Observations that an opening waits or is rejected while the target's places are not used. */
  int unusedPlaces;

  int giveBacks;
  int startedForGone;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
  private long nowMs;
  private long nextSequence;
  private int nextPort;

  /**
   * Creates agents that start at time 0.
   *
   * @param serviceMs mean work of the load, as the agents' measurement of the service time
   */
  OverloadReplay(int targets, int capacity, double serviceMs, long seed) {
    this.serviceMs = serviceMs;
    this.random = new Random(seed);
    for (int i = 0; i < targets; i++) {
      nodes.add(new ReplayNode(this, capacity));
      int phaseMs = i % TICK_MS;
      at(phaseMs, nodes.get(i)::start);
      at(phaseMs, nodes.get(i)::tick);
    }
  }

  long nowMs() {
    return nowMs;
  }

  void at(long atMs, Runnable action) {
    events.add(new Event(atMs, nextSequence++, action));
  }

  void after(long delayMs, Runnable action) {
    at(nowMs + delayMs, action);
  }

  void run(long untilMs) {
    while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
  }

  void nextTick(ReplayNode node) {
    after(TICK_MS, node::tick);
  }

  static boolean isSweepDue(long nowMs) {
    return nowMs % SWEEP_MS < TICK_MS;
  }

  /**
   * Adds arrivals of a kind; they are the same for the same seed, whatever other kinds there are.
   */
  void addLoad(Kind kind, long fromMs, long toMs, long seed) {
    Random arrivals = new Random(seed);
    double atMs = fromMs;
    double median = kind.meanWorkMs() / Math.exp(SIGMA * SIGMA / 2);
    while (true) {
      atMs += -Math.log(1 - arrivals.nextDouble()) * 1_000 / kind.perS();
      if (atMs >= toMs) {
        return;
      }
      double workMs = median * Math.exp(SIGMA * arrivals.nextGaussian());
      int address = LAST_ADDRESS_BITS + kind.zone() * CLIENTS + arrivals.nextInt(CLIENTS);
      Request request =
          new Request(
              kind, (long) atMs, address, Math.min(workMs, MAX_WORK_FACTOR * kind.meanWorkMs()));
      requests.add(request);
      at(request.startedMs, () -> startAttempt(request));
    }
  }

  private void startAttempt(Request request) {
    if (request.hasLeft(nowMs) || request.attempts == MAX_ATTEMPTS) {
      return;
    }
    request.attempts++;
    // The port of the service differs by priority, as each kind has a route of its own.
    FlowId flow =
        new FlowId(
            request.clientAddress,
            nextPort++ & 0xFFFF,
            Fleet.SERVICE_ADDRESS,
            Fleet.PORT + request.kind.priority());
    Attempt attempt = new Attempt(request, flow, nowMs);
    attempts.put(flow, attempt);
    place(attempt, 0);
    for (int i = 0; i < COPIES_MS.length; i++) {
      int copy = i + 1;
      after(COPIES_MS[i], () -> sendCopy(attempt, copy));
    }
    after(GIVE_UP_MS, () -> fail(attempt, !attempt.opened));
    after(request.startedMs + request.kind.timeoutMs() - nowMs, () -> leave(attempt));
  }

  private void sendCopy(Attempt attempt, int copy) {
    if (!attempt.opened && !attempt.ended) {
      attempt.openingsOut++;
      ReplayNode node = attempt.node;
      after(NETWORK_MS, () -> node.forwardOpening(attempt, copy));
    }
  }

  private void leave(Attempt attempt) {
    if (!attempt.ended && !attempt.request.isAnswered()) {
      attempt.ended = true;
      ReplayNode node = attempt.node;
      after(NETWORK_MS, () -> node.forwardClose(attempt));
    }
  }

  private void fail(Attempt attempt, boolean applies) {
    if (applies && !attempt.ended) {
      attempt.ended = true;
      after(RETRY_MS, () -> startAttempt(attempt.request));
    }
  }

  private void place(Attempt attempt, int copy) {
    int compared = attempt.tried.isEmpty() ? 2 : nodes.size();
    int first = random.nextInt(nodes.size());
    attempt.node = null;
    for (int i = 0; i < compared; i++) {
      int index = compared == 2 ? random.nextInt(nodes.size()) : (first + i) % nodes.size();
      ReplayNode candidate = nodes.get(index);
      boolean isLess =
          attempt.node == null || candidate.agent().busyFlows() < attempt.node.agent().busyFlows();
      if (isLess && !attempt.tried.contains(candidate)) {
        attempt.node = candidate;
      }
    }
    attempt.tried.add(attempt.node);
    attempt.openingsOut++;
    ReplayNode node = attempt.node;
    after(NETWORK_MS, () -> node.forwardOpening(attempt, copy));
  }

  /** Handles an opening that an agent gives back; the balancer places it again or resets it. */
  void onGivenBack(Attempt attempt, int copy, GiveBackReason reason) {
    giveBacks++;
    attempt.openingsOut--;
    if (attempt.opened || attempt.ended || attempt.openingsOut > 0) {
      return;
    }
    if (attempt.tried.size() < MAX_PLACEMENTS) {
      place(attempt, copy);
      return;
    }
    double elapsedMs = nowMs + NETWORK_MS - attempt.startedMs;
    if (reason == GiveBackReason.OVERLOADED) {
      rejectionTimes.add(elapsedMs / attempt.request.kind.objectiveMs());
    }
    after(NETWORK_MS, () -> fail(attempt, true));
  }

  SchedulingTerms terms(Attempt attempt) {
    Kind kind = attempt.request.kind;
    long period = nowMs / ORDER_PERIOD_MS;
    int order = (int) (FlowId.mix(FlowId.mix(attempt.request.clientAddress) ^ period) & 0xFF);
    return new SchedulingTerms(kind.objectiveMs(), kind.priority(), order, kind.zone());
  }

  // ---- results ----

  /** Returns the fraction of the requests of a priority and period that were answered in time. */
  double inTime(int priority, long fromMs, long toMs) {
    long total = 0;
    long inTime = 0;
    for (Request request : requests) {
      boolean counts =
          request.kind.priority() == priority
              && request.startedMs >= fromMs
              && request.startedMs < toMs;
      total += counts ? 1 : 0;
      inTime += counts && request.isInTime() ? 1 : 0;
    }
    return (double) inTime / total;
  }

  /** Returns the fraction of a zone's requests that were answered in time. */
  double inTimeOfZone(int zone) {
    long total = requests.stream().filter(r -> r.kind.zone() == zone).count();
    return (double) requests.stream().filter(r -> r.kind.zone() == zone && r.isInTime()).count()
        / total;
  }

  /** Returns the fraction of a zone's requests that were answered at all. */
  double answeredOfZone(int zone) {
    long total = requests.stream().filter(r -> r.kind.zone() == zone).count();
    return (double) requests.stream().filter(r -> r.kind.zone() == zone && r.isAnswered()).count()
        / total;
  }

  /** Returns the fraction of times that are at most a limit. */
  static double fractionWithin(List<Double> times, double limit) {
    return (double) times.stream().filter(time -> time <= limit).count() / times.size();
  }

  /** Returns the mean fraction of the time until then for which a target worked. */
  double utilization(long untilMs) {
    return nodes.stream().mapToDouble(node -> node.workedMs).sum() / nodes.size() / untilMs;
  }
}
