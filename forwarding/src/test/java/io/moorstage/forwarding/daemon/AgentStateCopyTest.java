package io.moorstage.forwarding.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.model.Endpoint;
import io.moorstage.core.state.Evacuations;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.metrics.ForwardingMetrics;
import io.moorstage.forwarding.peer.BalancerBeacons;
import io.moorstage.forwarding.peer.PeerMessage;
import io.moorstage.forwarding.settings.ForwardingSettings;
import io.moorstage.forwarding.state.FleetStateCodec;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests from which balancers, and when, an agent fetches its copy of the state. */
class AgentStateCopyTest {
  private static final int ADDRESS = 0x7F000001;
  private static final int PERIOD_MS = BalancerBeacons.PERIOD_MS;
  private static final int OTHER_ZONE_DELAY_MS = 6 * PERIOD_MS;
  private static final long STARTED_AT_MS = 1_000_000;

  private final EventLog log = new EventLog("a");
  private final AgentStateCopy copy =
      new AgentStateCopy(settings(), new ForwardingMetrics(log), log);

  private static ForwardingSettings settings() {
    Endpoint any = Endpoint.of(ADDRESS, 1);
    return new ForwardingSettings(
        "a", "z", ADDRESS, 1, 1, 1, any, List.of(), any, any, any, any, "s", false, Set.of());
  }

  private boolean isFetchDue(String zone, long revision, long nowMs) {
    PeerMessage.BalancerBeacon beacon =
        new PeerMessage.BalancerBeacon(revision, zone, null, true, 100, 0, new int[0]);
    return copy.isFetchDue(beacon, nowMs);
  }

  private void store(long revision) {
    copy.storeIfNewer(
        FleetStateCodec.encode(
            FleetState.of(revision, ForwardingConfiguration.NONE, List.of(), Evacuations.NONE)));
  }

  @Test
  void newerStateOfABalancerInTheOwnZoneIsFetchedAtOnce() {
    assertThat(isFetchDue("z", 5, STARTED_AT_MS)).isTrue();
  }

  // Guards against charged traffic between zones: an agent that had just started fetched the state
  // of the first balancer that it heard of.
  @Test
  void agentThatHasJustStartedWaitsBeforeItFetchesFromAnotherZone() {
    assertThat(isFetchDue("other", 5, STARTED_AT_MS)).isFalse();
    assertThat(isFetchDue("other", 5, STARTED_AT_MS + OTHER_ZONE_DELAY_MS)).isFalse();
    assertThat(isFetchDue("other", 5, STARTED_AT_MS + OTHER_ZONE_DELAY_MS + 1)).isTrue();
  }

  // Guards against an old copy that an agent without balancers in its zone keeps for good: each
  // beacon of a balancer that was behind started the wait again.
  @Test
  void beaconOfABalancerThatIsBehindDoesNotExtendTheWait() {
    store(4);
    for (int passedMs = 0; passedMs <= OTHER_ZONE_DELAY_MS; passedMs += PERIOD_MS) {
      assertThat(isFetchDue("other", 5, STARTED_AT_MS + passedMs)).isFalse();
      assertThat(isFetchDue("other", 3, STARTED_AT_MS + passedMs)).isFalse();
    }
    assertThat(isFetchDue("other", 5, STARTED_AT_MS + OTHER_ZONE_DELAY_MS + 1)).isTrue();
  }

  @Test
  void waitStartsAgainAfterTheCopyHasBeenUpToDate() {
    store(4);
    assertThat(isFetchDue("other", 5, STARTED_AT_MS)).isFalse();
    store(5);
    long laterMs = STARTED_AT_MS + 10 * OTHER_ZONE_DELAY_MS;
    assertThat(isFetchDue("other", 6, laterMs)).isFalse();
    assertThat(isFetchDue("other", 7, laterMs + OTHER_ZONE_DELAY_MS)).isFalse();
    assertThat(isFetchDue("other", 7, laterMs + OTHER_ZONE_DELAY_MS + 1)).isTrue();
  }
}
