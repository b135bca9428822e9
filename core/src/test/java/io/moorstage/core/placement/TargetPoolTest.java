package io.moorstage.core.placement;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.Fleet;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.CapacityReport;
import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TargetPoolTest {
  private static final String ZONE = "lac";
  private static final String OTHER_ZONE = "ariana";
  private static final int CAPACITY = 2;
  private static final int FLOWS = 400;

  private final List<TargetSlot> ownZoneTargets = new ArrayList<>();
  private final List<TargetSlot> otherZoneTargets = new ArrayList<>();
  private long nowMs = 10_000;

  private static TargetSlot slot(int address, String zone) {
    String id = "t" + address;
    return new TargetSlot(
        new TargetRecord(
            id, Fleet.SERVICE, address, zone, CAPACITY, TargetPhase.READY, 0, address, address),
        0);
  }

  private TargetPool pool(int ownZoneCount, int otherZoneCount) {
    for (int i = 0; i < ownZoneCount; i++) {
      ownZoneTargets.add(slot(100 + i, ZONE));
    }
    for (int i = 0; i < otherZoneCount; i++) {
      otherZoneTargets.add(slot(200 + i, OTHER_ZONE));
    }
    List<TargetSlot> all = new ArrayList<>(ownZoneTargets);
    all.addAll(otherZoneTargets);
    return new TargetPool(Fleet.SERVICE, ZONE, all, Fleet.POLICY);
  }

  private static void reportTime(TargetSlot slot, int tenthsMs, long atMs) {
    slot.recordCapacity(new CapacityReport(tenthsMs, 0, SchedulingTerms.ADMIT_ALL), 500, atMs);
  }

  // Equal targets must not pay for the noise of their service times.
  @Test
  void choiceIsTheSameWithoutServiceTimesWhileTheseAreEqualOrUnknown() {
    TargetPool pool = pool(7, 20);
    TargetPool byLoad =
        new TargetPool(
            Fleet.SERVICE,
            ZONE,
            pool.slots(),
            Fleet.POLICY.without(Set.of(Mechanism.SERVICE_TIMES)));
    Random random = new Random(7);
    for (int port = 1; port <= 20_000; port++) {
      TargetSlot changed = pool.slots().get(random.nextInt(27));
      changed.recordBusyFlows(random.nextInt(5), nowMs);
      if (port > 10_000) {
        reportTime(changed, 200 + random.nextInt(40), nowMs);
      }
      nowMs += random.nextInt(20);
      FlowId flow = Fleet.flow(port);
      TargetSlot chosen = pool.choose(flow, List.of(), nowMs);
      assertThat(chosen).isSameInstanceAs(byLoad.choose(flow, List.of(), nowMs));
    }
    assertThat(pool.serviceTimeSpread(nowMs)).isGreaterThan(1.0);
  }

  // With few requests, only a probe shows that the slow one of two targets has recovered.
  @Test
  void slowTargetOfTwoIsProbedWhileItIsIdle() {
    TargetPool pool = pool(2, 0);
    TargetSlot slow = ownZoneTargets.get(0);
    int probes = 0;
    for (int port = 1; port <= 100; port++) {
      nowMs += 100;
      for (TargetSlot slot : ownZoneTargets) {
        slot.recordBusyFlows(0, nowMs);
        reportTime(slot, slot == slow ? 2_000 : 200, nowMs);
      }
      probes += pool.choose(Fleet.flow(port), List.of(), nowMs) == slow ? 1 : 0;
    }
    assertThat(probes).isAtLeast(10);
  }

  // Otherwise the cost of a search for a lost flow grows with the number of targets.
  @Test
  void targetChosenByServiceTimeIsAmongTheFirstEightThatASearchQueries() {
    TargetPool pool = pool(20, 80);
    Random random = new Random(7);
    int notAmongFour = 0;
    for (int port = 1; port <= 2_000; port++) {
      nowMs += 10;
      for (TargetSlot slot : pool.slots()) {
        slot.recordBusyFlows(random.nextInt(3), nowMs);
        reportTime(slot, slot.address() % 3 == 0 ? 100 : 300, nowMs);
      }
      FlowId flow = Fleet.flow(port);
      TargetSlot chosen = pool.choose(flow, List.of(), nowMs);
      List<TargetSlot> order = TargetPool.byLikelihood(pool.slots(), ZONE, flow);
      assertThat(order.subList(0, 8)).contains(chosen);
      notAmongFour += order.subList(0, TargetPool.LIKELY_TARGETS).contains(chosen) ? 0 : 1;
    }
    assertThat(notAmongFour).isGreaterThan(100);
  }

  private void reportBusyFlows(List<TargetSlot> slots, int busyFlows) {
    for (TargetSlot slot : slots) {
      slot.recordBusyFlows(busyFlows, nowMs);
    }
  }

  private Map<String, Integer> countChoicesByZone(TargetPool pool) {
    Map<String, Integer> counts = new HashMap<>();
    for (int port = 1; port <= FLOWS; port++) {
      TargetSlot slot = pool.choose(Fleet.flow(port), List.of(), nowMs);
      counts.merge(slot.record().zone(), 1, Integer::sum);
    }
    return counts;
  }

  @Test
  void newFlowsStayInTheirZoneWhileItsTargetsHaveRoom() {
    TargetPool pool = pool(3, 9);
    reportBusyFlows(ownZoneTargets, 0);
    reportBusyFlows(otherZoneTargets, 0);
    assertThat(countChoicesByZone(pool)).containsExactly(ZONE, FLOWS);
  }

  @Test
  void newFlowsGoToOtherZonesWhenTheTargetsOfTheirZoneAreBusy() {
    TargetPool pool = pool(3, 9);
    reportBusyFlows(ownZoneTargets, CAPACITY);
    reportBusyFlows(otherZoneTargets, 0);
    assertThat(countChoicesByZone(pool).get(OTHER_ZONE)).isAtLeast(FLOWS * 9 / 10);
  }

  @Test
  void newFlowsAreSpreadOverAllZonesWhenTheTargetsOfTheirOwnAreBusyMostOfTheTime() {
    TargetPool pool = pool(3, 9);
    for (int i = 0; i < 50; i++) {
      reportBusyFlows(ownZoneTargets, i % 4 == 0 ? 0 : CAPACITY);
      nowMs += 100;
    }
    reportBusyFlows(ownZoneTargets, 0);
    reportBusyFlows(otherZoneTargets, 0);
    assertThat(countChoicesByZone(pool).get(OTHER_ZONE)).isAtLeast(FLOWS / 2);
  }

  @Test
  void newFlowsOfAZoneWithoutTargetsGoToOtherZones() {
    assertThat(countChoicesByZone(pool(0, 4))).containsExactly(OTHER_ZONE, FLOWS);
  }

  // Otherwise a balancer that has lost its flow table queries more agents than needed.
  @Test
  void targetOfANewFlowIsAmongTheFirstFourThatASearchQueries() {
    TargetPool pool = pool(5, 20);
    for (int port = 1; port <= FLOWS; port++) {
      reportBusyFlows(ownZoneTargets, port % 3);
      reportBusyFlows(otherZoneTargets, port % 2);
      FlowId flow = Fleet.flow(port);
      TargetSlot chosen = pool.choose(flow, List.of(), nowMs);
      assertThat(
              TargetPool.byLikelihood(pool.slots(), ZONE, flow)
                  .subList(0, TargetPool.LIKELY_TARGETS))
          .contains(chosen);
    }
  }
}
