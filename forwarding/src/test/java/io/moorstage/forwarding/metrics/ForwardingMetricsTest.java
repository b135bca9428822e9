package io.moorstage.forwarding.metrics;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.log.Decision;
import io.moorstage.core.log.DecisionLog;
import io.moorstage.forwarding.state.StateSourceFailure;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against metrics that are missing from the exposition, from the counters of source failures
 * or from the reference page.
 */
class ForwardingMetricsTest {
  private static final FlowId FLOW = new FlowId(1, 2, 3, 4);

  private static List<String> lines(ForwardingMetrics metrics) {
    return new String(metrics.exposition(), StandardCharsets.UTF_8).lines().toList();
  }

  @Test
  void everyDecisionIsCountedAndPassedToTheLog() {
    List<Decision> loggedDecisions = new ArrayList<>();
    ForwardingMetrics metrics =
        new ForwardingMetrics(
            (decision, flow, address, reason, ageMs) -> loggedDecisions.add(decision));
    metrics.decided(Decision.PLACED, FLOW, 0, "new", 0);
    metrics.decided(Decision.PLACED, FLOW, 0, "new", 0);

    assertThat(loggedDecisions).hasSize(2);
    assertThat(lines(metrics))
        .contains("moorstage_forwarding_decisions_total{decision=\"placed\"} 2");
  }

  /**
   * Operators tell a service that is overloaded from one whose targets are gone by this counter.
   */
  @Test
  void resetsOfOverloadedServicesAreCountedSeparately() {
    ForwardingMetrics metrics = new ForwardingMetrics(DecisionLog.NONE);
    metrics.decided(Decision.RESET_NO_TARGET, FLOW, 0, DecisionLog.OVERLOADED, 0);
    metrics.decided(Decision.RESET_NO_TARGET, FLOW, 0, "no-target", 0);
    metrics.decided(Decision.PLACED_AGAIN, FLOW, 0, DecisionLog.OVERLOADED, 0);

    assertThat(lines(metrics)).contains("moorstage_forwarding_overloaded_openings_total 1");
    assertThat(lines(metrics))
        .contains("moorstage_forwarding_decisions_total{decision=\"reset-no-target\"} 2");
  }

  @Test
  void countersAndGaugesAreExposed() {
    ForwardingMetrics metrics = new ForwardingMetrics(DecisionLog.NONE);
    metrics.count(ForwardingCounter.BAD_PEER_DATAGRAMS);
    metrics.add(ForwardingCounter.BEACON_BYTES, 120);
    metrics.gauge(ForwardingGauge.FLOWS, () -> 7);

    assertThat(lines(metrics)).contains("moorstage_forwarding_bad_peer_datagrams_total 1");
    assertThat(lines(metrics)).contains("moorstage_forwarding_beacon_bytes_total 120");
    assertThat(lines(metrics)).contains("moorstage_forwarding_flows 7");
  }

  @Test
  void everyFailureOfTheSourceHasACounter() {
    for (StateSourceFailure failure : StateSourceFailure.values()) {
      assertThat(ForwardingCounter.ofFailure(failure).name()).endsWith(failure.name());
    }
  }

  @Test
  void referencePageDescribesAllMetrics() throws IOException {
    Path page = Path.of("..", "docs", "METRICS.md");
    assertThat(Files.readString(page)).isEqualTo(ForwardingMetrics.reference());
  }
}
