package io.moorstage.spec;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.translator.A4Solution;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs every command of the models. A {@code run} shows that its actions can happen and must have
 * an instance. A {@code check} must hold, unless its name begins with "Without": such a check
 * disables a rule and must have a counterexample, which shows that the rule is necessary.
 */
final class ModelCheckTest {
  private static final String MUTANT_PREFIX = "Without";
  private static final double NANOS_PER_SECOND = 1e9;

  @TestFactory
  Stream<DynamicTest> fleetStateExchange() throws Exception {
    return commandsOf("FleetStateExchange.als");
  }

  /** Fails if a check was removed from the model by mistake. */
  @Test
  void modelContainsTheRequiredChecks() throws Exception {
    assertThat(labels("FleetStateExchange.als"))
        .containsAtLeast(
            "InvariantHoldsInitially",
            "InvariantIsKept",
            "PromiseKept",
            "WithoutRecordsByRevision",
            "WithoutPastIsNoNews",
            "WithoutLateReadingIsMerged",
            "WithoutUnlistedIsGone",
            "WithoutGoneIsUnlisted",
            "WithoutListingOrdersStarts",
            "WithoutVersionOrdersConfigurations",
            "WithoutWholeStateAfterForgetting",
            "WithoutWholeStateInGap",
            "WithoutGapsArePassedOn",
            "WithoutChangesFitTheNode");
  }

  private static List<String> labels(String fileName) throws Exception {
    return AlloyModel.parse(fileName).commands().stream()
        .map(command -> command.label)
        .collect(Collectors.toList());
  }

  private static Stream<DynamicTest> commandsOf(String fileName) throws Exception {
    AlloyModel model = AlloyModel.parse(fileName);
    return model.commands().stream()
        .map(command -> DynamicTest.dynamicTest(command.label, () -> verify(model, command)));
  }

  private static void verify(AlloyModel model, Command command) throws Exception {
    boolean expected = !command.check || command.label.startsWith(MUTANT_PREFIX);
    long start = System.nanoTime();
    A4Solution solution = model.execute(command);
    boolean satisfiable = solution.satisfiable();
    System.out.printf(
        "model=%s command=%s kind=%s satisfiable=%s states=%d seconds=%.1f%n",
        command.pos.filename.replaceAll(".*/", ""),
        command.label,
        command.check ? "check" : "run",
        satisfiable,
        satisfiable ? solution.getTraceLength() : 0,
        (System.nanoTime() - start) / NANOS_PER_SECOND);
    assertWithMessage(satisfiable ? solution.toString() : command.toString())
        .that(satisfiable)
        .isEqualTo(expected);
  }
}
