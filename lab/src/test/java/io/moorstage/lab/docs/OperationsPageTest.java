package io.moorstage.lab.docs;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.log.Decision;
import io.moorstage.core.message.GiveBackReason;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Compares OPERATIONS.md with the settings, decisions, events and metrics of the code. It fails if
 * the code and the page differ, so that on-call engineers don't work from outdated tables.
 */
final class OperationsPageTest {
  /** A call that reads a setting: whether for agents only, the method, and the key. */
  private static final Pattern SETTING =
      Pattern.compile("(agent \\? )?values\\.(\\w+)\\(\"([a-z.-]+)\"\\)");

  private static final Pattern METRIC = Pattern.compile(MetricNames.PREFIX + "(\\w+)");

  /** The page's name of the value format that each method of {@code SettingsText} parses. */
  private static final Map<String, String> FORMS =
      Map.of(
          "text", "text",
          "address", "IPv4 address",
          "port", "port",
          "endpoint", "address:port",
          "endpoints", "list of address:port, optional",
          "flag", "on or off, optional",
          "mechanisms", "list of mechanisms, optional");

  private String page;
  private ProductSources sources;

  @BeforeEach
  void readPage() throws IOException {
    page = ProductSources.page("OPERATIONS.md");
    sources = ProductSources.read();
  }

  @Test
  void eachSettingIsOnThePageWithItsProgramAndForm() {
    assertThat(settingsOfPage()).isEqualTo(settingsOfSource());
  }

  @Test
  void eachDecisionIsInTheTableOfDecisionsOnce() {
    List<String> names =
        Arrays.stream(Decision.values()).map(Decision::logName).collect(Collectors.toList());

    assertThat(PageTable.find(page, "| decision |").codeIn("decision"))
        .containsExactlyElementsIn(names);
  }

  @Test
  void eachLoggedEventIsInTheTableOfEventsOnce() {
    assertThat(PageTable.find(page, "| event |").codeIn("event"))
        .containsExactlyElementsIn(sources.events());
  }

  @Test
  void eachReturnReasonIsExplainedOnce() {
    List<String> reasons =
        Arrays.stream(GiveBackReason.values()).map(Enum::name).collect(Collectors.toList());
    String afterGaveBack = page.substring(page.indexOf("`gave-back reason`:"));

    assertThat(PageTable.find(afterGaveBack, "| reason |").codeIn("reason"))
        .containsExactlyElementsIn(reasons);
  }

  @Test
  void eachMetricOnThePageExists() {
    Set<String> known = new HashSet<>(MetricNames.withoutPrefix());
    known.add(MetricNames.DECISIONS);
    List<String> named =
        METRIC.matcher(page).results().map(name -> name.group(1)).collect(Collectors.toList());

    assertThat(named).isNotEmpty();
    assertThat(known).containsAtLeastElementsIn(new HashSet<>(named));
  }

  private Map<String, String> settingsOfPage() {
    PageTable table = PageTable.find(page, "| key |");
    List<String> keys = table.codeIn("key");
    List<String> programs = table.column("program");
    List<String> forms = table.column("form");
    Map<String, String> settings = new TreeMap<>();
    for (int row = 0; row < keys.size(); row++) {
      settings.put(keys.get(row), programs.get(row) + ", " + forms.get(row));
    }
    return settings;
  }

  private Map<String, String> settingsOfSource() {
    Map<String, String> settings = new TreeMap<>();
    Matcher matcher = SETTING.matcher(sources.sourceOf("ForwardingSettings"));
    while (matcher.find()) {
      String program = matcher.group(1) == null ? "both" : "agent";
      settings.put(matcher.group(3), program + ", " + FORMS.get(matcher.group(2)));
    }
    return settings;
  }
}
