package io.moorstage.forwarding.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.forwarding.peer.BalancerBeacons;
import org.junit.jupiter.api.Test;

/** Times of different classes that have to agree. */
class AgreedTimesTest {

  @Test
  void agentMayLoseThreeBeaconsBeforeItsMachineCountsAsAway() {
    assertThat(ForwardingPolicy.STANDARD.search().agentTimeoutMs())
        .isEqualTo(3 * BalancerBeacons.PERIOD_MS + BalancerBeacons.LATE_MS);
  }

  @Test
  void balancerIsMissedAfterTwoLostBeacons() {
    assertThat(BalancerBeacons.SILENT_AFTER_MS).isEqualTo(1_300);
    assertThat(BalancerReadiness.ISOLATED_AFTER_MS).isEqualTo(BalancerBeacons.SILENT_AFTER_MS);
  }

  @Test
  void balancerIsMissedBeforeItCeasesToCountAsAMember() {
    assertThat(BalancerReadiness.MEMBERSHIP_MS).isGreaterThan(BalancerBeacons.SILENT_AFTER_MS);
  }

  @Test
  void stoppingBalancerIsQuietBeforeItsLongestStop() {
    assertThat(BalancerDrain.MIN_MS + BalancerDrain.QUIET_MS).isLessThan(BalancerDrain.MAX_MS);
  }

  @Test
  void confirmationHoldsForTheWaitOfACallAndABeacon() {
    assertThat(StateConfirmation.CONFIRMED_FOR_MS).isEqualTo(2_500);
  }
}
