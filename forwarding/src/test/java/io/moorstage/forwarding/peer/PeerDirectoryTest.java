package io.moorstage.forwarding.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PeerDirectoryTest {
  private static final int OWN_ADDRESS = 1;
  private static final String ZONE = "lac";
  private static final String OTHER_ZONE = "ariana";
  private static final int TIMEOUT_MS = 1_300;
  private static final int MEMBERSHIP_MS = 20_000;

  private final PeerDirectory peers = new PeerDirectory(OWN_ADDRESS, ZONE);

  private void recordBeacons(int first, int count, String zone, long revision, long nowMs) {
    for (int address = first; address < first + count; address++) {
      peers.recordBeacon(address, zone, revision, nowMs);
    }
  }

  private static List<Integer> list(int[] addresses) {
    List<Integer> list = new ArrayList<>();
    for (int address : addresses) {
      list.add(address);
    }
    return list;
  }

  @Test
  void allBalancersOfASmallFleetAreClose() {
    recordBeacons(10, 3, ZONE, 1, 0);
    recordBeacons(20, 3, OTHER_ZONE, 1, 0);
    assertThat(list(peers.closePeers(0))).containsExactly(10, 11, 12, 20, 21, 22);
    assertThat(peers.otherPeers(4, 0)).isEmpty();
  }

  @Test
  void balancersOfTheZoneAreCloseInALargeFleet() {
    recordBeacons(10, 6, ZONE, 1, 0);
    recordBeacons(100, 160, OTHER_ZONE, 1, 0);
    assertThat(list(peers.closePeers(0))).containsExactly(10, 11, 12, 13, 14, 15);
  }

  @Test
  void balancerThatForwardsToThisNodeIsCloseForTwoSeconds() {
    recordBeacons(10, 2, ZONE, 1, 0);
    recordBeacons(100, 30, OTHER_ZONE, 1, 0);
    peers.recordForward(100, 0);
    assertThat(list(peers.closePeers(1_000))).containsExactly(10, 11, 100);
    assertThat(list(peers.closePeers(3_000))).containsExactly(10, 11);
  }

  @Test
  void otherPeersStayFewInALargeFleetAndIncludeEachBalancerEventually() {
    recordBeacons(10, 6, ZONE, 1, 0);
    recordBeacons(100, 160, OTHER_ZONE, 1, 0);
    Set<Integer> reached = new HashSet<>();
    for (int round = 0; round < 1_000; round++) {
      int[] others = peers.otherPeers(4, 0);
      assertThat(others).hasLength(4);
      reached.addAll(list(others));
    }
    assertThat(reached).hasSize(160);
  }

  @Test
  void balancerWithoutABeaconIsAmongTheOtherPeers() {
    recordBeacons(100, 30, OTHER_ZONE, 1, 0);
    peers.add(7, 0);
    assertThat(list(peers.otherPeers(2, 0))).contains(7);
  }

  @Test
  void peersBehindAreTheCloseOnesOfALowerRevisionAndTwoOthers() {
    recordBeacons(10, 2, ZONE, 5, 0);
    recordBeacons(12, 2, ZONE, 6, 0);
    recordBeacons(100, 30, OTHER_ZONE, 5, 0);
    List<Integer> behind = list(peers.peersBehind(6, 0));
    assertThat(behind).containsAtLeast(10, 11);
    assertThat(behind).containsNoneOf(12, 13);
    assertThat(behind).hasSize(4);
  }

  @Test
  void mostAdvancedPrefersABalancerOfTheOwnZone() {
    recordBeacons(10, 1, ZONE, 6, 0);
    recordBeacons(11, 1, ZONE, 7, 0);
    recordBeacons(100, 1, OTHER_ZONE, 9, 0);
    assertThat(peers.mostAdvanced(5, 0)).isEqualTo(11);
    assertThat(peers.mostAdvanced(7, 0)).isEqualTo(100);
    assertThat(peers.mostAdvanced(9, 0)).isEqualTo(0);
  }

  @Test
  void lossOfMostBalancersOfTheZoneCountsAsIsolation() {
    recordBeacons(10, 5, ZONE, 1, 0);
    recordBeacons(100, 30, OTHER_ZONE, 1, 0);
    recordBeacons(10, 2, ZONE, 1, 2_000);
    assertThat(peers.hasLostMost(TIMEOUT_MS, MEMBERSHIP_MS, 2_000)).isTrue();
    recordBeacons(12, 1, ZONE, 1, 2_000);
    assertThat(peers.hasLostMost(TIMEOUT_MS, MEMBERSHIP_MS, 2_000)).isFalse();
  }

  @Test
  void nodeAloneInItsZoneIsNotIsolatedWhileOneOtherBalancerIsLive() {
    recordBeacons(100, 30, OTHER_ZONE, 1, 0);
    assertThat(peers.hasLostMost(TIMEOUT_MS, MEMBERSHIP_MS, 2_000)).isTrue();
    recordBeacons(117, 1, OTHER_ZONE, 1, 2_000);
    assertThat(peers.hasLostMost(TIMEOUT_MS, MEMBERSHIP_MS, 2_000)).isFalse();
  }

  @Test
  void balancersWithoutBeaconsExpire() {
    recordBeacons(10, 1, ZONE, 1, 0);
    peers.add(11, 0);
    assertThat(list(peers.closePeers(19_000))).containsExactly(10, 11);
    assertThat(list(peers.closePeers(21_000))).containsExactly(10);
    assertThat(peers.closePeers(91_000)).isEmpty();
  }
}
