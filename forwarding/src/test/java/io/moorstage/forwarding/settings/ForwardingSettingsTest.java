package io.moorstage.forwarding.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.moorstage.core.model.Endpoint;
import io.moorstage.core.settings.Mechanism;
import java.nio.file.Path;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Guards against settings that are read wrongly, and against invalid settings that are accepted or
 * reported in part only.
 */
class ForwardingSettingsTest {
  private static final String BALANCER =
      """
      # a comment
      node.id: b1
      node.zone: lac
      node.address: 10.1.0.10
      node.peer-port: 7720
      node.state-port: 7735
      node.metrics-port: 9464
      node.readiness-address: 10.1.0.10:8167
      node.seeds: 10.1.0.10:8166,10.2.0.40:8166
      source.address: 10.200.1.7:8169
      client.address: 10.1.0.10:8172
      """;

  @Test
  void balancerSettingsAreParsed() throws ForwardingSettingsException {
    ForwardingSettings settings =
        ForwardingSettings.parse(ForwardingSettings.Program.BALANCER, BALANCER);
    assertThat(settings.nodeId()).isEqualTo("b1");
    assertThat(settings.seeds()).hasSize(2);
    assertThat(settings.clientEndpoint()).isEqualTo(Endpoint.of(0x0A01000A, 8172));
  }

  @Test
  void emptySeedsAreAllowed() throws ForwardingSettingsException {
    String text = BALANCER.replace("10.1.0.10:8166,10.2.0.40:8166", "");
    assertThat(ForwardingSettings.parse(ForwardingSettings.Program.BALANCER, text).seeds())
        .isEmpty();
  }

  @Test
  void mechanismsAreSwitchedOffByName() throws ForwardingSettingsException {
    String text = BALANCER + "experiment.without: gate, two-choices\n";
    ForwardingSettings settings =
        ForwardingSettings.parse(ForwardingSettings.Program.BALANCER, text);
    assertThat(settings.switchedOff()).containsExactly(Mechanism.GATE, Mechanism.TWO_CHOICES);
    assertThat(settings.policy().uses(Mechanism.GATE)).isFalse();
    assertThat(settings.policy().uses(Mechanism.SUSPICION)).isTrue();
  }

  @Test
  void unknownMechanismIsRejected() {
    String text = BALANCER + "experiment.without: gates\n";
    ForwardingSettingsException rejection =
        assertThrows(
            ForwardingSettingsException.class,
            () -> ForwardingSettings.parse(ForwardingSettings.Program.BALANCER, text));
    assertThat(rejection.problems().get(0).key()).isEqualTo("experiment.without");
  }

  @Test
  void allProblemsAreReportedAtOnce() {
    String text =
        BALANCER
                .replace("node.address: 10.1.0.10", "node.address: 10.1.0.300")
                .replace("7720", "99999")
                .replace("node.zone: lac", "nonsense")
            + "node.id: again\n";
    ForwardingSettingsException rejection =
        assertThrows(
            ForwardingSettingsException.class,
            () -> ForwardingSettings.parse(ForwardingSettings.Program.AGENT, text));
    assertThat(rejection.problems().stream().map(p -> p.kind() + " " + p.key()).toList())
        .containsExactly(
            "MALFORMED_LINE ",
            "DUPLICATE_KEY node.id",
            "MISSING node.zone",
            "BAD_VALUE node.address",
            "BAD_VALUE node.peer-port",
            "MISSING agent.target-address",
            "MISSING agent.egress-address",
            "MISSING agent.service");
  }

  @Test
  void overloadControlIsOffUnlessItIsSet() throws ForwardingSettingsException {
    assertThat(parseBalancer("").overloadControl()).isFalse();
    assertThat(parseBalancer("overload.control: off").overloadControl()).isFalse();
    assertThat(parseBalancer("overload.control: on").overloadControl()).isTrue();
    assertThat(parseBalancer("overload.control: on").policy().overload().enabled()).isTrue();
    ForwardingSettingsException rejection =
        assertThrows(
            ForwardingSettingsException.class, () -> parseBalancer("overload.control: maybe"));
    assertThat(rejection.failure()).isEqualTo(SettingsProblem.Kind.BAD_VALUE);
  }

  private static ForwardingSettings parseBalancer(String line) throws ForwardingSettingsException {
    return ForwardingSettings.parse(ForwardingSettings.Program.BALANCER, BALANCER + line + "\n");
  }

  @Test
  void missingFileIsReportedAsUnreadable() {
    ForwardingSettingsException rejection =
        assertThrows(
            ForwardingSettingsException.class,
            () ->
                ForwardingSettings.load(
                    ForwardingSettings.Program.BALANCER,
                    Path.of("no-such-file"),
                    UnaryOperator.identity()));
    assertThat(rejection.failure()).isEqualTo(SettingsProblem.Kind.UNREADABLE);
  }
}
