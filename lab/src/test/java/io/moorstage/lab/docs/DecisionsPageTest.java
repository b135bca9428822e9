package io.moorstage.lab.docs;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.moorstage.core.log.Decision;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Compares DECISIONS.md with the code. It fails if the page names classes, constants, log names or
 * metrics that no longer exist, or gives a constant another value than the code.
 */
final class DecisionsPageTest {
  private static final String FIRST_ROW = "| no. | question |";

  private String page;
  private PageTable table;
  private ProductSources sources;

  @BeforeEach
  void readPage() throws IOException {
    page = ProductSources.page("DECISIONS.md");
    table = PageTable.find(page, FIRST_ROW);
    sources = ProductSources.read();
  }

  @Test
  void eachClassOnThePageExists() {
    assertThat(table.codeIn("class")).isNotEmpty();
    assertThat(sources.classes()).containsAtLeastElementsIn(new HashSet<>(table.codeIn("class")));
  }

  @Test
  void eachConstantHasTheValueInItsClass() {
    assertThat(table.codeIn("constants")).isNotEmpty();
    for (String constant : table.codeIn("constants")) {
      int dot = constant.indexOf('.');
      String definition = constant.substring(dot + 1);
      assertWithMessage(constant).that(definition).matches("[A-Z][A-Z_]* = .+");
      assertWithMessage(constant)
          .that(sources.sourceOf(constant.substring(0, dot)))
          .containsMatch("static final \\w+ " + definition.replaceAll("([.*+])", "\\\\$1") + ";");
    }
  }

  @Test
  void classOfEachConstantIsNamedInItsRow() {
    List<String> classes = table.column("class");
    List<String> constants = table.column("constants");
    for (int row = 0; row < classes.size(); row++) {
      for (String constant : PageTable.code(constants.get(row))) {
        String className = constant.substring(0, constant.indexOf('.'));
        assertWithMessage(constant).that(PageTable.code(classes.get(row))).contains(className);
      }
    }
  }

  @Test
  void eachDurationHasItsUnit() {
    for (String cell : table.column("constants")) {
      assertWithMessage(cell).that(cell).doesNotContainMatch("_MS = [^`]*`(?! ms)");
    }
  }

  @Test
  void eachLogNameIsADecisionOrAnEventThatIsLogged() {
    Set<String> known = new HashSet<>(sources.events());
    known.addAll(decisionNames());

    assertThat(known).containsAtLeastElementsIn(new HashSet<>(table.codeIn("log")));
  }

  @Test
  void eachDecisionIsInTheTable() {
    assertThat(table.codeIn("log")).containsAtLeastElementsIn(decisionNames());
  }

  @Test
  void eachMetricIsCountedOrGauged() {
    assertThat(table.codeIn("metric")).isNotEmpty();
    assertThat(MetricNames.withoutPrefix())
        .containsAtLeastElementsIn(new HashSet<>(table.codeIn("metric")));
  }

  @Test
  void eachRuleHasItsReasonUnderTheSameNumber() {
    String reasons = page.substring(page.indexOf("## Reasons"));
    List<String> numbers =
        reasons
            .lines()
            .filter(line -> line.matches("\\d+\\. .*"))
            .map(line -> line.substring(0, line.indexOf('.')))
            .collect(Collectors.toList());

    assertThat(numbers).containsExactlyElementsIn(table.column("no.")).inOrder();
  }

  private static Set<String> decisionNames() {
    return Arrays.stream(Decision.values()).map(Decision::logName).collect(Collectors.toSet());
  }
}
