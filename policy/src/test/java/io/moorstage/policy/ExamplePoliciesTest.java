package io.moorstage.policy;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.state.ForwardingRoute;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The example policies compile to the expected routes and targets, listen on loopback and are
 * formatted.
 */
final class ExamplePoliciesTest {
  private static final Path EXAMPLES = Path.of("..", "examples");
  private static final Path GOLDEN = Path.of("src", "test", "resources", "golden");

  @Test
  void tunisHasExpectedRoutesAndTargets() throws IOException, PolicyException {
    CompiledPolicy tunis = compile("tunis.policy");

    assertThat(tunis.configuration().version()).isEqualTo(1);
    assertThat(tunis.configuration().routes()).hasSize(2);
    assertThat(targetsOf("roast", tunis)).hasSize(7);
    assertThat(targetsOf("cards", tunis)).hasSize(3);
    assertThat(targetsOf("roast", tunis).get(6))
        .isEqualTo(new PolicyTarget("roast-7", "roast", "ariana", 5, 2000));
  }

  @Test
  void perthHasExpectedTargets() throws IOException, PolicyException {
    CompiledPolicy perth = compile("perth.policy");

    assertThat(targetsOf("tables", perth)).hasSize(7);
    assertThat(targetsOf("bundles", perth)).hasSize(4);
    assertThat(targetsOf("tables", perth).get(0).slotCount()).isEqualTo(4);
  }

  @Test
  void roastAndTablesRequestsRunAtMostOnce() throws IOException, PolicyException {
    ForwardingRoute roast = compile("tunis.policy").configuration().routes().get(0);
    ForwardingRoute tables = compile("perth.policy").configuration().routes().get(0);

    assertThat(roast.hasService("roast")).isTrue();
    assertThat(roast.repeatable()).isFalse();
    assertThat(roast.timeoutMs()).isEqualTo(5000);
    assertThat(tables.hasService("tables")).isTrue();
    assertThat(tables.repeatable()).isFalse();
    assertThat(tables.timeoutMs()).isEqualTo(3000);
  }

  @ParameterizedTest
  @ValueSource(strings = {"tunis", "perth"})
  void examplesListenOnLoopbackOnly(String name) throws IOException, PolicyException {
    for (ForwardingRoute route : compile(name + ".policy").configuration().routes()) {
      assertThat(route.address() >>> 24).isEqualTo(127);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"tunis", "perth"})
  void examplesCompileToGoldenFiles(String name) throws IOException, PolicyException {
    String golden = Files.readString(GOLDEN.resolve(name + ".compiled.txt"));

    assertThat(CompiledText.print(compile(name + ".policy"))).isEqualTo(golden);
  }

  @ParameterizedTest
  @ValueSource(strings = {"tunis", "perth"})
  void examplesAreFormatted(String name) throws IOException, PolicyException {
    String source = Files.readString(EXAMPLES.resolve(name + ".policy"));

    assertThat(PolicyFormatter.format(source)).isEqualTo(source);
  }

  private static List<PolicyTarget> targetsOf(String service, CompiledPolicy policy) {
    return policy.targets().stream().filter(t -> t.service().equals(service)).toList();
  }

  private static CompiledPolicy compile(String file) throws IOException, PolicyException {
    return PolicyCompiler.compile(Files.readString(EXAMPLES.resolve(file)));
  }
}
