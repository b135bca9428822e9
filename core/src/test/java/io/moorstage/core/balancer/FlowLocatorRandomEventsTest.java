package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertWithMessage;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.core.message.AgentReport;
import io.moorstage.core.message.CapacityReport;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.OverloadSettings;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against exceptions and endless searches after any order of events. */
class FlowLocatorRandomEventsTest {
  private static final int FIRST_ADDRESS = 0x0A010010;
  private static final int TARGETS = 5;
  private static final int RUNS = 20_000;
  private static final int EVENTS = 60;
  private static final GiveBackReason[] REASONS = GiveBackReason.values();

  private final Map<String, Integer> failures = new LinkedHashMap<>();

  private void run(ForwardingPolicy policy, long seed, boolean withOpenings) {
    Random random = new Random(seed);
    Fleet.RecordingBalancerActions actions = new Fleet.RecordingBalancerActions();
    List<String> trace = new ArrayList<>();
    DecisionLog log =
        (decision, flow, address, reason, ageMs) ->
            trace.add("  " + decision + " " + reason + " " + (address - FIRST_ADDRESS));
    FlowBalancer balancer = new FlowBalancer(policy, Fleet.ZONE, actions, log, 0);
    long nowMs = 100_000;
    long revision = 5;
    balancer.onState(state(revision, random), nowMs);
    FlowId flow = Fleet.flow(1);
    String event = "";
    try {
      for (int i = 0; i < EVENTS; i++) {
        int agent = FIRST_ADDRESS + random.nextInt(TARGETS);
        int name = agent - FIRST_ADDRESS;
        int kind = random.nextInt(withOpenings ? 17 : 14);
        Segment data = Fleet.data(flow, 101 + 10 * random.nextInt(4), 10);
        event = i + "@" + nowMs + " ";
        switch (kind) {
          case 0, 1, 2, 3 -> {
            nowMs += 20 * (1 + random.nextInt(10));
            event += "tick";
            trace.add(event);
            balancer.onTick(nowMs);
          }
          case 4, 5 -> {
            event += "data";
            trace.add(event);
            balancer.onClientSegment(data, Fleet.bytes(data), nowMs);
          }
          case 6 -> {
            Segment s =
                random.nextBoolean()
                    ? Fleet.close(flow, 141)
                    : new Segment(flow, Segment.Kind.RESET, 0, false, 141, 7, 0);
            if (random.nextInt(5) == 0) {
              event += s.kind();
              trace.add(event);
              balancer.onClientSegment(s, Fleet.bytes(s), nowMs);
            }
          }
          case 7, 8 -> {
            if (!actions.forwardedTo.isEmpty()) {
              agent = actions.forwardedTo.get(random.nextInt(actions.forwardedTo.size()));
              event += "give back " + (agent - FIRST_ADDRESS);
              trace.add(event);
              balancer.onGivenBack(
                  agent, GiveBackReason.NOT_HELD, 1, data, Fleet.bytes(data), nowMs);
            }
          }
          case 9, 10 -> {
            FlowQueryResult result =
                random.nextInt(20) == 0
                    ? FlowQueryResult.LOST
                    : random.nextInt(4) == 0
                        ? FlowQueryResult.HELD
                        : random.nextInt(3) == 0
                            ? FlowQueryResult.NOT_HELD
                            : FlowQueryResult.UNKNOWN;
            event += result + " " + name;
            trace.add(event);
            balancer.onQueryResult(agent, flow, result, agent, nowMs);
          }
          case 11 -> {
            event += "UNKNOWN by all";
            trace.add(event);
            for (int a = 0; a < TARGETS; a++) {
              if (random.nextInt(6) > 0) {
                balancer.onQueryResult(
                    FIRST_ADDRESS + a, flow, FlowQueryResult.UNKNOWN, FIRST_ADDRESS + a, nowMs);
              }
            }
          }
          case 12 -> {
            event += "named " + name;
            trace.add(event);
            balancer.onQueryResult(
                Fleet.BALANCER, flow, FlowQueryResult.KNOWN_ELSEWHERE, agent, nowMs);
          }
          case 13 -> {
            event += "beacon or state";
            trace.add(event);
            if (random.nextInt(3) == 0) {
              balancer.onState(state(++revision, random), nowMs);
            } else if (random.nextInt(4) == 0) {
              balancer.onSweep(nowMs);
            } else {
              balancer.onAgentReport(
                  new AgentReport(
                      agent,
                      Fleet.SERVICE,
                      Fleet.ZONE,
                      0,
                      random.nextInt(10) == 0,
                      false,
                      random.nextInt(10) == 0,
                      new CapacityReport(0, 0, 65_535)),
                  nowMs);
            }
          }
          case 14, 15 -> {
            Segment open = Fleet.open(flow, random.nextInt(3));
            event += "open";
            trace.add(event);
            balancer.onClientSegment(open, Fleet.bytes(open), nowMs);
          }
          default -> {
            if (!actions.forwardedTo.isEmpty()) {
              agent = actions.forwardedTo.get(actions.forwardedTo.size() - 1);
              Segment open = Fleet.open(flow, random.nextInt(3));
              GiveBackReason reason = REASONS[random.nextInt(REASONS.length)];
              event += "open given back " + reason + " " + (agent - FIRST_ADDRESS);
              trace.add(event);
              balancer.onGivenBack(agent, reason, 1, open, Fleet.bytes(open), nowMs);
            }
          }
        }
      }
      event = "quiet";
      trace.add(event);
      for (int i = 0; i < 250; i++) {
        nowMs += 20;
        balancer.onTick(nowMs);
      }
      int before = actions.queried.size() + actions.forwardedTo.size();
      for (int i = 0; i < 100; i++) {
        nowMs += 20;
        balancer.onTick(nowMs);
      }
      if (before != actions.queried.size() + actions.forwardedTo.size()) {
        throw new IllegalStateException("endless");
      }
      balancer.onSweep(nowMs + 70_000);
      if (balancer.flowCount() > 0) {
        throw new IllegalStateException("leak");
      }
    } catch (RuntimeException e) {
      StackTraceElement[] stack = e.getStackTrace();
      StringBuilder key = new StringBuilder(e.toString());
      for (int i = 0; i < Math.min(7, stack.length); i++) {
        key.append("\n      ")
            .append(stack[i].getFileName())
            .append(":")
            .append(stack[i].getLineNumber());
      }
      if (failures.merge(key.toString(), 1, Integer::sum) == 1) {
        System.out.println(
            "=== seed "
                + seed
                + " overload "
                + policy.overload().enabled()
                + "\n"
                + key
                + "\n"
                + String.join("\n", trace.subList(Math.max(0, trace.size() - 45), trace.size())));
      }
    }
  }

  private static io.moorstage.core.state.FleetState state(long revision, Random random) {
    List<TargetRecord> targets = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      if (revision == 5 || random.nextInt(6) > 0) {
        TargetPhase phase =
            revision == 5 || random.nextInt(6) > 0 ? TargetPhase.READY : TargetPhase.GONE;
        targets.add(Fleet.target(FIRST_ADDRESS + i, phase, revision));
      }
    }
    return Fleet.state(revision, targets.toArray(new TargetRecord[0]));
  }

  @Test
  void noExceptionWithoutOpenings() {
    for (long seed = 0; seed < RUNS; seed++) {
      run(Fleet.POLICY, seed, false);
    }
    assertWithMessage(failures.toString()).that(failures).isEmpty();
  }

  @Test
  void noExceptionWithOpenings() {
    for (long seed = 0; seed < RUNS; seed++) {
      run(Fleet.POLICY, seed, true);
    }
    assertWithMessage(failures.toString()).that(failures).isEmpty();
  }

  @Test
  void noExceptionWithOpeningsAndOverloadControl() {
    for (long seed = 0; seed < RUNS; seed++) {
      run(Fleet.POLICY.with(OverloadSettings.STANDARD), seed, true);
    }
    assertWithMessage(failures.toString()).that(failures).isEmpty();
  }
}
