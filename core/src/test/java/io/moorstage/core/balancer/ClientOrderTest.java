package io.moorstage.core.balancer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.moorstage.core.message.SchedulingTerms;
import org.junit.jupiter.api.Test;

/** Guards the fairness of the order in which clients are served under overload. */
class ClientOrderTest {
  private static final int FIRST_CLIENT = 0x64400001;
  private static final int CLIENTS = 4_000;
  private static final int PERIODS = 60;

  /** The position below which 0.73 of the clients are served. */
  private static final int LIMIT = 187;

  @Test
  void positionsAreSpreadEvenlyOverTheClientsOfAPeriod() {
    int[] clientsByQuarter = new int[4];
    for (int client = 0; client < CLIENTS; client++) {
      int order = ClientOrder.of(FIRST_CLIENT + client, 7);
      assertThat(order).isAtLeast(0);
      assertThat(order).isAtMost(SchedulingTerms.LAST_CLIENT);
      clientsByQuarter[order / 64]++;
    }
    for (int clients : clientsByQuarter) {
      assertThat((double) clients / CLIENTS).isWithin(0.03).of(0.25);
    }
  }

  @Test
  void eachClientIsServedInItsShareOfThePeriods() {
    int served = 0;
    for (int client = 0; client < CLIENTS; client++) {
      int servedPeriods = 0;
      int longestRejection = 0;
      int rejectedInARow = 0;
      for (long period = 588_000; period < 588_000 + PERIODS; period++) {
        boolean isServed = ClientOrder.of(FIRST_CLIENT + client, period) < LIMIT;
        servedPeriods += isServed ? 1 : 0;
        rejectedInARow = isServed ? 0 : rejectedInARow + 1;
        longestRejection = Math.max(longestRejection, rejectedInARow);
      }
      served += servedPeriods;
      // Four standard deviations of a binomial distribution below its mean of 43.8 periods.
      assertWithMessage("client %s", client).that(servedPeriods).isAtLeast(30);
      assertWithMessage("client %s", client).that(longestRejection).isAtMost(10);
    }
    assertThat((double) served / CLIENTS / PERIODS).isWithin(0.01).of(LIMIT / 256.0);
  }

  @Test
  void zoneKeysFitTheirFieldAndDifferBetweenZones() {
    int key = ClientOrder.zoneKey("zone-a");
    assertThat(key).isAtLeast(0);
    assertThat(key).isAtMost(0xFFFF);
    assertThat(ClientOrder.zoneKey("zone-b")).isNotEqualTo(key);
    assertThat(ClientOrder.zoneKey("zone-a")).isEqualTo(key);
  }
}
