package io.moorstage.policy;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.WeightedService;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Valid policies compile to the expected configuration; invalid ones give the expected errors. */
final class PolicyCompilerTest {
  private static final int LOOPBACK = 0x7F000001;
  private static final String TARGET = "target a { zone lac; slots 5; connections 20; } ";

  /** Each row is one invalid line inside an otherwise valid service, and the expected failure. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "deadline 0s;                                                       | OUT_OF_RANGE",
        "deadline 61m;                                                      | OUT_OF_RANGE",
        "deadline 99999999999999999999m;                                    | OUT_OF_RANGE",
        "deadline 1s; deadline 2s;                                          | DUPLICATE_SETTING",
        "class repeatable; class repeatable;                                | DUPLICATE_SETTING",
        "default target { } default target { }                              | DUPLICATE_SETTING",
        "target b { zone lac; zone lac; slots 1; connections 8; }           | DUPLICATE_SETTING",
        "target b { zone lac; slots 9; connections 8; }                     | SLOTS_EXCEED_CONNECTIONS",
        "target b { zone lac; slots 0; connections 8; }                     | OUT_OF_RANGE",
        "target b { zone lac; slots 1; connections 99999999999999999999; }  | OUT_OF_RANGE",
        "target b { zone lac; slots 1; }                                    | MISSING_SETTING",
        "target b { slots 1; connections 8; }                               | MISSING_SETTING",
        "target b { zone lacc; slots 1; connections 8; }                    | UNKNOWN_ZONE",
        "target a { zone lac; slots 1; connections 8; }                     | DUPLICATE_NAME",
        "default target { slots 0; }                                        | OUT_OF_RANGE",
        "deadline 5;                                                        | SYNTAX",
        "slots 5;                                                           | SYNTAX",
        "connections 5;                                                     | SYNTAX",
      })
  void rejectsInvalidServiceItemWithOneError(String line, PolicyFailure expected) {
    List<PolicyError> errors =
        errors("zones lac; service s at 127.0.0.1:5683 { " + TARGET + "\n" + line + "\n}");

    assertThat(errors.stream().map(PolicyError::failure)).containsExactly(expected);
  }

  /**
   * Each row is one invalid statement and the expected failure. The policy also has a service with
   * an address and a service without one.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "route 127.0.0.1:5684 { service s weight 1001; }                   | OUT_OF_RANGE",
        "route 127.0.0.1:5684 { service s weight 0; }                      | NO_WEIGHT",
        "route 127.0.0.1:5684 { }                                          | NO_WEIGHT",
        "route 127.0.0.1:5684 { service ss weight 1; }                     | UNKNOWN_SERVICE",
        "route 127.0.0.1:5684 { service s weight 1; service s weight 2; }  | DUPLICATE_NAME",
        "route 127.0.0.1:5684 { service s weight 1; deadline 0ms; }        | OUT_OF_RANGE",
        "route 127.0.0.1:5684 { service s weight 1; deadline 1s; deadline 1s; }"
            + " | DUPLICATE_SETTING",
        "route 127.0.0.1:5683 { service s weight 1; }                      | ADDRESS_CLAIMED_TWICE",
        "route 127.0.0.256:5684 { service s weight 1; }                    | INVALID_ADDRESS",
        "route 127.0.0.1:5684 { service s; }                               | SYNTAX",
        "service t { target b { zone lac; slots 1; connections 2; } }      | UNREACHABLE_SERVICE",
        "zones lac;                                                        | DUPLICATE_NAME",
      })
  void rejectsInvalidStatementWithOneError(String statement, PolicyFailure expected) {
    String source =
        "zones lac; service s at 127.0.0.1:5683 { "
            + TARGET
            + "}\nservice r { target c { zone lac; slots 1; connections 2; } }"
            + "route 127.0.0.9:5683 { service r weight 1; }\n"
            + statement;

    assertThat(errors(source).stream().map(PolicyError::failure)).containsExactly(expected);
  }

  @ParameterizedTest
  @CsvSource({
    "t at 127.0.0.1:5683, ADDRESS_CLAIMED_TWICE",
    "s at 127.0.0.1:5684, DUPLICATE_NAME",
    "t at 127.0.0.256:5684, INVALID_ADDRESS",
    "t at 224.0.0.1:5684, INVALID_ADDRESS",
    "t at 127.0.0.1:0, INVALID_ADDRESS",
    "t at 127.0.0.1:65536, INVALID_ADDRESS",
  })
  void rejectsSecondServiceWithConflictOrInvalidAddress(String second, PolicyFailure expected) {
    String source =
        "zones lac; service s at 127.0.0.1:5683 { "
            + TARGET
            + "}\nservice "
            + second
            + " { target b { zone lac; slots 5; connections 20; } }";

    assertThat(errors(source).stream().map(PolicyError::failure)).containsExactly(expected);
  }

  @Test
  void servicesAtDifferentAddressesMayUseTheSamePort() throws PolicyException {
    String source =
        "zones lac; service s at 127.0.0.1:5683 { "
            + TARGET
            + "} service t at 127.0.0.2:5683 { target b { zone lac; slots 5; connections 20; } }";

    assertThat(PolicyCompiler.compile(source).configuration().routes()).hasSize(2);
  }

  @Test
  void rejectsFlowSettingsOfServiceWithoutAddress() {
    List<PolicyError> errors =
        errors(
            "zones lac; service s { deadline 5s; "
                + TARGET
                + "} route 127.0.0.1:5683 { service s weight 1; }");

    assertThat(errors).hasSize(1);
    assertThat(errors.get(0).failure()).isEqualTo(PolicyFailure.SETTING_WITHOUT_ADDRESS);
  }

  /**
   * Each row is an unsupported statement, the block that contains it (policy, service, target or
   * route), and the name that the error gives it.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "ports distinct;                               | policy  | ports",
        "buckets 256;                                  | service | buckets",
        "limit requests 50/s per caller;               | service | limit",
        "limit flows 100 per caller;                   | service | limit",
        "default route { deadline 5s; retries 10%; }   | service | default route",
        "route POST /orders/** { class at-most-once; } | service | route POST",
        "route * /a/*/b { shed at 90%; }               | service | route *",
        "shed at 90%;                                  | service | shed",
        "retries 10%;                                  | service | retries",
        "class idempotent;                             | service | idempotent",
        "target b id 12 { }                            | service | id",
        "weight 100;                                   | target  | target weight",
        "limit flows 100 per caller;                   | target  | limit",
        "class idempotent;                             | route   | idempotent",
        "shed at 90%;                                  | route   | shed",
      })
  void reportsUnsupportedStatementByName(String statement, String block, String expectedName) {
    List<PolicyError> errors =
        errors(
            "zones lac; "
                + (block.equals("policy") ? statement : "")
                + " service s at 127.0.0.1:5683 { default target { zone lac; slots 5;"
                + " connections 20; "
                + (block.equals("target") ? statement : "")
                + " } target a { } "
                + (block.equals("service") ? statement : "")
                + " } route 127.0.0.2:5683 { service s weight 1; "
                + (block.equals("route") ? statement : "")
                + " }");

    assertThat(errors).hasSize(1);
    assertThat(errors.get(0).failure()).isEqualTo(PolicyFailure.UNSUPPORTED_STATEMENT);
    assertThat(errors.get(0).detail())
        .isEqualTo("'" + expectedName + "' is not supported by layer-4 forwarding");
    assertThat(errors.get(0).suggestion()).isEmpty();
  }

  @Test
  void reportsAllUnsupportedStatementsAndNothingElse() {
    List<PolicyError> errors =
        errors(
            "zones lac;\n"
                + "ports distinct;\n"
                + "service s id 1 at 127.0.0.1:5683 {\n"
                + "  buckets 256;\n"
                + "  default target { slots 5; connections 20; weight 100; }\n"
                + "  default route { deadline 5s; retries 10%; shed at 90%; }\n"
                + "  target a id 11 { zone lac; }\n"
                + "  route GET /** { class repeatable; }\n"
                + "}\n");

    assertThat(errors.stream().map(PolicyError::failure).distinct())
        .containsExactly(PolicyFailure.UNSUPPORTED_STATEMENT);
    assertThat(errors.stream().map(error -> error.line() + ":" + error.column()))
        .containsExactly("2:1", "3:11", "4:3", "5:45", "6:3", "7:12", "8:3")
        .inOrder();
  }

  @Test
  void neverSuggestsUnsupportedStatements() {
    List<PolicyError> inService = errors("service s at 127.0.0.1:5683 { bucket 5; }");
    List<PolicyError> inTarget = errors("service s { target a { weigh 5; } }");
    List<PolicyError> unfinished = errors("ports distinct }");
    List<PolicyError> unfinishedBlock = errors("default route { retries 1%; {");

    assertThat(inService.get(0).detail())
        .isEqualTo(
            "found 'bucket', expected 'default' or 'target' or 'class' or 'deadline' or '}'");
    assertThat(inTarget.get(0).detail())
        .isEqualTo("found 'weigh', expected 'zone' or 'slots' or 'connections' or '}'");
    assertThat(inTarget.get(0).suggestion()).isEmpty();
    assertThat(unfinished.get(0).detail()).isEqualTo("found '}', expected ';'");
    assertThat(unfinishedBlock.get(0).detail()).isEqualTo("found '{', expected '}'");
  }

  @Test
  void reportsAllErrorsInOrderWithPositionAndNearestName() {
    List<PolicyError> errors =
        errors(
            "zones lac, ariana;\n"
                + "service s at 127.0.0.1:5683 {\n"
                + "  target a { zone arianna; slots 5; connections 20; }\n"
                + "  class at-most-once; deadline 0s;\n"
                + "}\n");

    assertThat(errors).hasSize(2);
    assertThat(errors.get(0).toString())
        .isEqualTo(
            "3:19: policy-unknown-zone: no zone 'arianna' is declared; did you mean 'ariana'?");
    assertThat(errors.get(0).suggestion()).hasValue("ariana");
    assertThat(errors.get(1).line()).isEqualTo(4);
    assertThat(errors.get(1).column()).isEqualTo(32);
  }

  @Test
  void suggestsTheNearestKeyword() {
    List<PolicyError> errors = errors("zones lac; service s at 127.0.0.1:5683 { deadlin 5s; }");

    assertThat(errors.get(0).failure()).isEqualTo(PolicyFailure.SYNTAX);
    assertThat(errors.get(0).suggestion()).hasValue("deadline");
  }

  @Test
  void rejectsPolicyWithoutServicesOrTargets() {
    assertThat(errors("# nothing\n").get(0).failure()).isEqualTo(PolicyFailure.NO_SERVICES);
    assertThat(errors("zones lac; service s at 127.0.0.1:5683 { }").get(0).failure())
        .isEqualTo(PolicyFailure.NO_TARGETS);
  }

  @Test
  void limitsSourceLengthAndErrorCount() {
    String tooLarge = "#".repeat(PolicyCompiler.MAX_SOURCE_LENGTH + 1);
    List<PolicyError> garbage = errors("zones ; ".repeat(10_000));

    assertThat(errors(tooLarge).get(0).failure()).isEqualTo(PolicyFailure.SOURCE_TOO_LARGE);
    assertThat(garbage).hasSize(ErrorCollector.MAX_ERRORS + 1);
    assertThat(garbage.get(ErrorCollector.MAX_ERRORS).failure())
        .isEqualTo(PolicyFailure.TOO_MANY_ERRORS);
  }

  @Test
  void layoutCommentsOrderAndExplicitDefaultsDoNotChangeTheResult() throws PolicyException {
    String source =
        "zones lac; service s at 127.0.0.1:5683 { class at-most-once; "
            + TARGET
            + "target b { zone lac; slots 5; connections 20; } }";
    String same =
        "# The same.\nservice s at 127.0.0.1:5683 {\n  target b { }\n"
            + "  target a { }\n  default target { connections 20; slots 5; zone lac; }\n}\n"
            + "zones lac;\n";
    String other = source.replace("slots 5", "slots 6");

    List<String> lines = CompiledText.lines(PolicyCompiler.compile(source));
    assertThat(CompiledText.lines(PolicyCompiler.compile(same))).containsExactlyElementsIn(lines);
    assertThat(CompiledText.lines(PolicyCompiler.compile(other))).isNotEqualTo(lines);
  }

  @Test
  void targetSettingsOverrideServiceDefaults() throws PolicyException {
    CompiledPolicy policy =
        PolicyCompiler.compile(
            "zones lac, ariana; service s at 127.0.0.1:5683 { target a { } "
                + "target b { zone ariana; slots 1; connections 2; }"
                + "default target { zone lac; slots 5; connections 20; } }");

    assertThat(policy.zones()).containsExactly("lac", "ariana").inOrder();
    assertThat(policy.targets())
        .containsExactly(
            new PolicyTarget("a", "s", "lac", 5, 20), new PolicyTarget("b", "s", "ariana", 1, 2))
        .inOrder();
  }

  @Test
  void serviceWithAddressGetsItsOwnRoute() throws PolicyException {
    ForwardingRoute unset = onlyRoute("service s at 127.0.0.1:5683 { " + TARGET + "}");
    ForwardingRoute set =
        onlyRoute("service s at 127.0.0.1:5683 { class repeatable; deadline 2m; " + TARGET + "}");

    WeightedService onlyService = new WeightedService("s", 1);
    assertThat(unset)
        .isEqualTo(new ForwardingRoute(LOOPBACK, 5683, 0, false, List.of(onlyService)));
    assertThat(set)
        .isEqualTo(new ForwardingRoute(LOOPBACK, 5683, 120_000, true, List.of(onlyService)));
  }

  @Test
  void routeSplitsFlowsByWeightAmongServicesDeclaredAnywhere() throws PolicyException {
    ForwardingRoute route =
        onlyRoute(
            "route 127.0.0.1:5683 { service s weight 90; service t weight 10;"
                + " class repeatable; deadline 500ms; }"
                + "service t { target b { zone lac; slots 1; connections 2; } }"
                + "service s { "
                + TARGET
                + "}");

    List<WeightedService> shares =
        List.of(new WeightedService("s", 90), new WeightedService("t", 10));
    assertThat(route).isEqualTo(new ForwardingRoute(LOOPBACK, 5683, 500, true, shares));
  }

  @Test
  void suggestsTheNearestServiceOfRoute() {
    List<PolicyError> errors =
        errors(
            "zones lac; service roast at 127.0.0.1:5683 { "
                + TARGET
                + "} route 127.0.0.2:5683 { service toast weight 1; }");

    assertThat(errors.get(0).failure()).isEqualTo(PolicyFailure.UNKNOWN_SERVICE);
    assertThat(errors.get(0).suggestion()).hasValue("roast");
  }

  private static ForwardingRoute onlyRoute(String statements) throws PolicyException {
    List<ForwardingRoute> routes =
        PolicyCompiler.compile("zones lac; " + statements).configuration().routes();
    assertThat(routes).hasSize(1);
    return routes.get(0);
  }

  private static List<PolicyError> errors(String source) {
    PolicyException rejection =
        assertThrows(PolicyException.class, () -> PolicyCompiler.compile(source));
    assertThat(rejection.failure()).isEqualTo(rejection.errors().get(0).failure());
    return rejection.errors();
  }
}
