package io.moorstage.lab;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the exit codes and the error messages of the lab's command line. */
class LabTest {
  private static final String POLICY =
      "zones a; service s at 127.0.0.50:5683 { target t { zone a; slots 1; connections 1; } }\n";

  @TempDir Path folder;
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private final PrintStream originalErr = System.err;

  @BeforeEach
  void captureErrors() {
    System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
  }

  @AfterEach
  void restoreErrors() {
    System.setErr(originalErr);
  }

  private int run(String... arguments) {
    return new Lab().run(arguments);
  }

  private void assertRejected(String failure, String... arguments) {
    assertThat(run(arguments)).isEqualTo(2);
    assertThat(errors.toString(StandardCharsets.UTF_8)).contains("failure=" + failure + " ");
  }

  private Path file(String text) throws IOException {
    return Files.writeString(folder.resolve("a.policy"), text);
  }

  @Test
  void unknownCommandIsRejectedByName() {
    assertRejected("unknown-command", "nonsense");
    assertThat(errors.toString(StandardCharsets.UTF_8)).contains("detail=\"nonsense\"");
  }

  @Test
  void missingCommandIsRejected() {
    assertRejected("no-command");
  }

  @Test
  void unknownOptionOfACommandIsRejectedByName() {
    assertRejected("unknown-option", "demo", "--nonsense");
    assertThat(errors.toString(StandardCharsets.UTF_8)).contains("detail=\"--nonsense\"");
  }

  @Test
  void unknownOptionIsNotTakenForTheFileToCheck() {
    assertRejected("unknown-option", "check", "--nonsense");
  }

  @Test
  void unknownOptionBeforeTheCommandIsRejected() {
    assertThat(run("--nonsense", "demo", "--help")).isEqualTo(2);
  }

  @Test
  void invalidOptionValueIsRejected() {
    assertRejected("bad-option", "soak", "--minutes", "x");
  }

  @Test
  void checkWithoutAFileIsRejected() {
    assertRejected("bad-option", "check");
  }

  @Test
  void helpExitsWithSuccess() {
    assertThat(run("--help")).isEqualTo(0);
    assertThat(run("demo", "--help")).isEqualTo(0);
    assertThat(run("check", "--help")).isEqualTo(0);
  }

  @Test
  void policyWithoutErrorsIsAccepted() throws IOException {
    assertThat(run("check", file(POLICY).toString())).isEqualTo(0);
  }

  @Test
  void errorsOfAPolicyArePrintedWithTheirPositions() throws IOException {
    Path file = file(POLICY.replace("zone a;", "zone b;"));
    assertThat(run("check", file.toString())).isEqualTo(1);
    assertThat(errors.toString(StandardCharsets.UTF_8)).contains(file + ":1:");
  }

  @Test
  void missingPolicyFileIsAFailure() {
    assertThat(run("check", folder.resolve("none").toString())).isEqualTo(1);
    assertThat(errors.toString(StandardCharsets.UTF_8)).contains("failure=check ");
  }

  @Test
  void demoOfAPolicyWithOneZoneIsAFailure() throws IOException {
    assertThat(run("demo", "--policy", file(POLICY).toString())).isEqualTo(1);
    assertThat(errors.toString(StandardCharsets.UTF_8)).contains("failure=policy-too-small ");
  }
}
