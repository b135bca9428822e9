package io.moorstage.lab.demo;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.moorstage.lab.check.PolicyFile;
import io.moorstage.policy.PolicyCompiler;
import io.moorstage.policy.PolicyTarget;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/**
 * Guards against a demonstration with too few targets: load to a service without a target, or the
 * drain of the only target of a service, would fail requests although the programs work.
 */
class DeploymentTest {
  private static Deployment of(String text) throws Exception {
    return Deployment.of(PolicyCompiler.compile(text));
  }

  private static String service(String name, int port, String... zones) {
    StringBuilder text = new StringBuilder("service " + name + " at 127.0.0.50:" + port + " {");
    for (String zone : zones) {
      text.append(" target ").append(name).append('-').append(zone);
      text.append(" { zone ").append(zone).append("; slots 1; connections 1; }");
    }
    return text.append("}\n").toString();
  }

  @Test
  void exampleHasFourTargetsInItsFirstTwoZones() throws Exception {
    Path example = Path.of("..", "examples", "tunis.policy");
    Deployment deployment = Deployment.of(PolicyFile.compile(example));
    assertThat(deployment.zones()).containsExactly("lac", "charguia").inOrder();
    assertThat(deployment.targets().stream().map(PolicyTarget::name).toList())
        .containsExactly("roast-1", "roast-4", "cards-1", "cards-2");
    assertThat(deployment.loadedRoutes()).hasSize(2);
  }

  @Test
  void routeOfAServiceWithoutATargetHereGetsNoLoad() throws Exception {
    Deployment deployment =
        of("zones a, b, c;\n" + service("far", 1, "c") + service("near", 2, "a", "b"));
    assertThat(deployment.configuration().routes()).hasSize(2);
    assertThat(deployment.loadedRoutes()).hasSize(1);
    assertThat(deployment.drainTarget().service()).isEqualTo("near");
  }

  @Test
  void onlyTargetOfAServiceIsNotDrained() throws Exception {
    Deployment deployment =
        of("zones a, b;\n" + service("alone", 1, "a") + service("pair", 2, "a", "b"));
    assertThat(deployment.drainTarget().service()).isEqualTo("pair");
  }

  @Test
  void policyWithOneZoneIsTooSmall() {
    assertThrows(DeploymentException.class, () -> of("zones a;\n" + service("s", 1, "a")));
  }

  @Test
  void policyWithoutASecondTargetIsTooSmall() {
    assertThrows(DeploymentException.class, () -> of("zones a, b;\n" + service("s", 1, "b")));
  }
}
