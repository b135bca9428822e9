package io.moorstage.policy;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.state.WeightedService;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The language page has a valid, formatted example and lists every failure code. */
final class PolicyPageTest {
  private static final Path PAGE = Path.of("..", "docs", "POLICY.md");
  private static final String FENCE = "```\n";

  @Test
  void pageExampleCompilesAndIsFormatted() throws IOException, PolicyException {
    String example = Files.readString(PAGE).split(FENCE)[1];
    CompiledPolicy policy = PolicyCompiler.compile(example);

    assertThat(policy.targets()).hasSize(4);
    assertThat(policy.configuration().routes()).hasSize(2);
    assertThat(policy.configuration().routes().get(1).services())
        .containsExactly(new WeightedService("cards", 90), new WeightedService("cards-next", 10));
    assertThat(PolicyFormatter.format(example)).isEqualTo(example);
  }

  @Test
  void pageListsEveryFailureCode() throws IOException {
    String page = Files.readString(PAGE);

    for (PolicyFailure failure : PolicyFailure.values()) {
      assertThat(page).contains("`" + failure.code() + "`");
    }
  }
}
