package io.moorstage.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Any text either compiles or is rejected with policy errors; no other exception is thrown. */
final class PolicyPropertiesTest {
  private static final String[] FRAGMENTS = {
    "zones lac, ariana;",
    "ports distinct;",
    "service",
    "s",
    "id",
    "1",
    "2",
    "at",
    "127.0.0.1:5683",
    "{",
    "}",
    ";",
    ",",
    "buckets 64;",
    "limit",
    "flows",
    "requests",
    "50/s",
    "per caller",
    "default",
    "target",
    "target a { zone lac; slots 5; connections 20; }",
    "target a id 11 {",
    "route",
    "GET",
    "*",
    "/a/**",
    "route POST /b { deadline 5s; }",
    "route 127.0.0.3:5683 { service s weight 1; }",
    "route 127.0.0.3:5683 {",
    "class",
    "at-most-once",
    "repeatable",
    "idempotent",
    "retries",
    "10%",
    "deadline",
    "0ms",
    "shed at",
    "zone",
    "lac",
    "weight",
    "100",
    "# note\n",
    "service s at 127.0.0.1:5683 {",
    "service t at 127.0.0.2:5683 {",
    "service u id 2 {",
    "\n",
    "\n\n\n",
    "99999999999999999999",
    "0.0.0.0:0",
    "//",
    "é",
    "\u0000",
    "\r",
    "#",
    "'"
  };

  @Property(tries = 2000, seed = "20261202")
  void anyTextIsCompiledOrRejected(@ForAll String source) {
    assertCompiledOrRejected(source);
  }

  @Property(tries = 5000, seed = "20261202")
  void anyFragmentsAreCompiledOrRejected(@ForAll("fragmentSequences") String source) {
    assertCompiledOrRejected(source);
  }

  @Property(tries = 5000, seed = "20261202")
  void formattingIsIdempotentAndKeepsTheCompiledResult(@ForAll("policies") String source)
      throws PolicyException {
    String formatted = PolicyFormatter.format(source);

    assertThat(PolicyFormatter.format(formatted)).isEqualTo(formatted);
    assertThat(CompiledText.print(PolicyCompiler.compile(formatted)))
        .isEqualTo(CompiledText.print(PolicyCompiler.compile(source)));
  }

  @Provide
  Arbitrary<String> fragmentSequences() {
    return Arbitraries.of(FRAGMENTS)
        .list()
        .ofMaxSize(40)
        .map(fragments -> String.join(" ", fragments));
  }

  /** Valid policies with various white space and comments between the tokens. */
  @Provide
  Arbitrary<String> policies() {
    Arbitrary<String> gap =
        Arbitraries.of(" ", "\n", "\n\n", "  ", "\n\n\n", " # note\n", "\n# own line\n\n", "\r");
    Arbitrary<List<String>> gaps = gap.list().ofSize(60);
    Arbitrary<String> items =
        Arbitraries.of(
                "class repeatable ;",
                "deadline 5s ;",
                "default target { }",
                "target b { zone lac ; slots 5 ; connections 20 ; }",
                "target c { connections 7 ; slots 7 ; zone lac ; }")
            .list()
            .uniqueElements()
            .map(list -> String.join(" ", list));
    return items.flatMap(text -> gaps.map(between -> insertGaps(text, between)));
  }

  private static String insertGaps(String items, List<String> gaps) {
    String source =
        "zones lac ; service s at 127.0.0.1:5683 {"
            + " target a { zone lac ; slots 5 ; connections 20 ; } "
            + items
            + " } route 127.0.0.2:5683 { service s weight 9 ; deadline 7m ; }";
    String[] words = source.split(" ");
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < words.length; i++) {
      text.append(words[i]).append(gaps.get(i % gaps.size()));
    }
    return text.toString();
  }

  private static void assertCompiledOrRejected(String source) {
    try {
      CompiledPolicy policy = PolicyCompiler.compile(source);
      assertThat(policy.configuration().routes()).isNotEmpty();
      assertThat(policy.targets()).isNotEmpty();
    } catch (PolicyException rejection) {
      assertThat(rejection.errors()).isNotEmpty();
      assertThat(rejection.errors().get(0).line()).isAtLeast(1);
      assertThat(rejection.errors().get(0).column()).isAtLeast(1);
    }
  }
}
