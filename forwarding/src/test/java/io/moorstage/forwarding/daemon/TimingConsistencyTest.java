package io.moorstage.forwarding.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.forwarding.peer.BalancerBeacons;
import org.junit.jupiter.api.Test;

/**
 * Guards against inconsistent times of different classes. For example, a balancer must time out
 * before it ceases to be an expected member, or its loss would never count.
 */
class TimingConsistencyTest {

  @Test
  void agentTimesOutAfterThreeLostBeacons() {
    assertThat(ForwardingPolicy.STANDARD.search().agentTimeoutMs())
        .isEqualTo(3 * BalancerBeacons.PERIOD_MS + BalancerBeacons.DELAY_TOLERANCE_MS);
  }

  @Test
  void balancerTimesOutAfterTwoLostBeacons() {
    assertThat(BalancerBeacons.BEACON_TIMEOUT_MS).isEqualTo(1_300);
    assertThat(BalancerReadiness.ISOLATION_TIMEOUT_MS).isEqualTo(BalancerBeacons.BEACON_TIMEOUT_MS);
  }

  @Test
  void balancerTimesOutBeforeItsMembershipExpires() {
    assertThat(BalancerReadiness.MEMBERSHIP_MS).isGreaterThan(BalancerBeacons.BEACON_TIMEOUT_MS);
  }

  @Test
  void minimumDrainAndClientIdleTimeFitIntoTheMaximumDrain() {
    assertThat(BalancerDrain.MIN_MS + BalancerDrain.CLIENT_IDLE_MS)
        .isLessThan(BalancerDrain.MAX_MS);
  }

  @Test
  void confirmationIsValidForOneSourceCallAndOneBeaconPeriod() {
    assertThat(StateConfirmation.CONFIRMATION_TTL_MS).isEqualTo(2_500);
  }
}
