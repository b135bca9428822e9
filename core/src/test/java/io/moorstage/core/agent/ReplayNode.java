package io.moorstage.core.agent;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.settings.OverloadSettings;
import io.moorstage.core.state.TargetPhase;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** An agent of {@link OverloadReplay} with its target, which works on requests in their order. */
final class ReplayNode implements AgentActions {
  private static final int TARGET_QUEUE = 5;
  private static final int MIN_HANDSHAKE_MS = 8;
  private static final int MAX_HANDSHAKE_MS = 27;

  /** The agent releases the place of an opening whose request is late by then. */
  private static final int HANDSHAKE_LIMIT_MS = 50;

  /** A priority 1 request with less time left can't be in time, and may come last. */
  private static final int MIN_SERVICE_MS = 100;

  private final OverloadReplay replay;
  private final int capacity;
  private final Deque<OverloadReplay.Attempt> queue = new ArrayDeque<>();
  private final Set<OverloadReplay.Attempt> waiting = new HashSet<>();
  private final Map<OverloadReplay.Attempt, Long> inHandshake = new HashMap<>();

  /** When the first opening of an attempt came to this agent. */
  private final Map<OverloadReplay.Attempt, Long> forwardedAtMs = new HashMap<>();

  /** Sent segments by number, since an agent handles only their bytes. */
  private final Map<Integer, Segment> segments = new HashMap<>();

  private FlowAgent agent;
  private boolean running;
  private int incarnation;
  private int working;
  private int nextSegment;
  private double speed = 1;

  /** Time that the target has worked, summed over its places. */
  double workedMs;

  ReplayNode(OverloadReplay replay, int capacity) {
    this.replay = replay;
    this.capacity = capacity;
  }

  FlowAgent agent() {
    return agent;
  }

  /** Starts agent and target without any state. */
  void start() {
    agent =
        new FlowAgent(
            Fleet.POLICY.with(OverloadSettings.STANDARD),
            Fleet.SERVICE,
            this,
            DecisionLog.NONE,
            unused -> replay.serviceMs / speed,
            replay.nowMs());
    running = true;
    report(TargetPhase.READY, false);
  }

  /** Ends agent and target; all that they hold is lost. */
  void losePower() {
    running = false;
    incarnation++;
    queue.clear();
    waiting.clear();
    inHandshake.clear();
    working = 0;
  }

  void setSpeed(double newSpeed) {
    speed = newSpeed;
  }

  void report(TargetPhase phase, boolean evacuated) {
    TargetReport report =
        new TargetReport(
            replay.nowMs() + 1, phase, evacuated, capacity, incarnation + 1, false, 0, 0);
    agent.onTargetReport(report, replay.nowMs());
  }

  void tick() {
    if (running) {
      agent.onTick(replay.nowMs());
      if (OverloadReplay.isSweepDue(replay.nowMs())) {
        agent.onSweep(replay.nowMs());
      }
      checkPlaces();
    }
    replay.nextTick(this);
  }

  private void checkPlaces() {
    inHandshake.values().removeIf(sinceMs -> replay.nowMs() - sinceMs > HANDSHAKE_LIMIT_MS);
    int used = working + queue.size() + inHandshake.size();
    if (!waiting.isEmpty() && used < capacity) {
      replay.unusedPlaces++;
    }
  }

  void forwardOpening(OverloadReplay.Attempt attempt, int copy) {
    if (running) {
      waiting.add(attempt);
      forwardedAtMs.putIfAbsent(attempt, replay.nowMs());
      forward(attempt, Fleet.open(attempt.flow, copy));
    }
  }

  void forwardClose(OverloadReplay.Attempt attempt) {
    if (running) {
      waiting.remove(attempt);
      forward(attempt, Fleet.close(attempt.flow, 111));
    }
  }

  private void forwardData(OverloadReplay.Attempt attempt) {
    if (running && !attempt.ended) {
      forward(attempt, Fleet.data(attempt.flow, 101, 10));
    }
  }

  private void forward(OverloadReplay.Attempt attempt, Segment segment) {
    ForwardTerms terms =
        new ForwardTerms(
            Fleet.SERVICE,
            1,
            attempt.request.kind.timeoutMs(),
            0,
            true,
            false,
            replay.terms(attempt));
    agent.onForwarded(Fleet.BALANCER, terms, segment, encode(segment), replay.nowMs());
  }

  private ByteBuffer encode(Segment segment) {
    segments.put(nextSegment, segment);
    return ByteBuffer.allocate(Integer.BYTES).putInt(0, nextSegment++);
  }

  private void receiveFromTarget(Segment segment) {
    agent.onTargetSegment(segment, encode(segment), replay.nowMs());
  }

  // ---- the target ----

  @Override
  public void deliver(ByteBuffer datagram) {
    Segment segment = segments.get(datagram.getInt(datagram.position()));
    OverloadReplay.Attempt attempt = replay.attempts.get(segment.flow());
    if (segment.kind() == Segment.Kind.OPEN) {
      waiting.remove(attempt);
      inHandshake.put(attempt, replay.nowMs());
      countOvertaken(attempt);
    }
    int atIncarnation = incarnation;
    replay.after(
        0,
        () -> {
          if (atIncarnation == incarnation) {
            onDelivered(attempt, segment);
          }
        });
  }

  private void countOvertaken(OverloadReplay.Attempt delivered) {
    if (delivered.request.kind.priority() < 2) {
      return;
    }
    for (OverloadReplay.Attempt other : waiting) {
      OverloadReplay.Kind kind = other.request.kind;
      long leftMs = other.startedMs + kind.objectiveMs() - replay.nowMs();
      if (kind.priority() < 2 && leftMs > MIN_SERVICE_MS) {
        replay.overtaken++;
      }
    }
  }

  private void onDelivered(OverloadReplay.Attempt attempt, Segment segment) {
    switch (segment.kind()) {
      case OPEN -> onOpening(attempt, segment);
      case DATA -> {
        inHandshake.remove(attempt);
        queue.addLast(attempt);
        startWork();
      }
      case CLOSE -> {
        inHandshake.remove(attempt);
        if (queue.remove(attempt)) {
          receiveFromTarget(targetClose(attempt));
        }
      }
      default -> throw new AssertionError(segment);
    }
  }

  private void onOpening(OverloadReplay.Attempt attempt, Segment segment) {
    if (working + queue.size() >= capacity + TARGET_QUEUE) {
      inHandshake.remove(attempt);
      receiveFromTarget(Fleet.returned(segment));
    } else {
      receiveFromTarget(Fleet.accepted(attempt.flow));
    }
  }

  private void startWork() {
    while (working < capacity && !queue.isEmpty()) {
      OverloadReplay.Attempt attempt = queue.pollFirst();
      if (attempt.request.hasLeft(replay.nowMs())) {
        replay.startedForGone++;
      }
      working++;
      long durationMs = Math.max(1, Math.round(attempt.request.workMs / speed));
      workedMs += durationMs;
      int atIncarnation = incarnation;
      replay.after(
          durationMs,
          () -> {
            if (atIncarnation == incarnation) {
              finish(attempt);
            }
          });
    }
  }

  private void finish(OverloadReplay.Attempt attempt) {
    working--;
    receiveFromTarget(Fleet.data(attempt.flow, 2, 100));
    receiveFromTarget(targetClose(attempt));
    startWork();
  }

  private static Segment targetClose(OverloadReplay.Attempt attempt) {
    return new Segment(attempt.flow, Segment.Kind.CLOSE, 0, false, 102, 111, 0);
  }

  // ---- the client's side ----

  @Override
  public void sendToClient(FlowId flow, ByteBuffer datagram) {
    Segment segment = segments.get(datagram.getInt(datagram.position()));
    OverloadReplay.Attempt attempt = replay.attempts.get(flow);
    if (segment.kind() == Segment.Kind.OPEN_ACCEPTED && !attempt.opened && !attempt.ended) {
      attempt.opened = true;
      int range = MAX_HANDSHAKE_MS - MIN_HANDSHAKE_MS + 1;
      replay.after(MIN_HANDSHAKE_MS + replay.random.nextInt(range), () -> forwardData(attempt));
    } else if (segment.dataBytes() > 0) {
      replay.after(OverloadReplay.NETWORK_MS, () -> answer(attempt));
    }
  }

  private void answer(OverloadReplay.Attempt attempt) {
    if (!attempt.ended) {
      attempt.ended = true;
      attempt.request.answeredMs = replay.nowMs();
    }
  }

  @Override
  public void giveBack(int balancer, GiveBackReason reason, long version, ByteBuffer datagram) {
    Segment segment = segments.get(datagram.getInt(datagram.position()));
    if (segment.kind() != Segment.Kind.OPEN) {
      return;
    }
    OverloadReplay.Attempt attempt = replay.attempts.get(segment.flow());
    waiting.remove(attempt);
    checkPlaces();
    if (reason == GiveBackReason.OVERLOADED) {
      double waitedMs = replay.nowMs() - forwardedAtMs.get(attempt);
      replay.waitsBeforeGiveBack.add(waitedMs / attempt.request.kind.objectiveMs());
    }
    replay.after(
        OverloadReplay.NETWORK_MS, () -> replay.onGivenBack(attempt, segment.copy(), reason));
  }

  @Override
  public void reportHeld(int balancerAddress, FlowId flow) {}

  @Override
  public void checkTarget() {
    int atIncarnation = incarnation;
    replay.after(
        1,
        () -> {
          if (atIncarnation == incarnation) {
            agent.onTargetCheck(false, replay.nowMs());
          }
        });
  }

  @Override
  public void reset(FlowId flow, int sequence) {
    throw new AssertionError("open flow was reset: " + flow);
  }
}
