package io.moorstage.lab.check;

import io.moorstage.policy.CompiledPolicy;
import io.moorstage.policy.PolicyCompiler;
import io.moorstage.policy.PolicyError;
import io.moorstage.policy.PolicyException;
import io.moorstage.policy.PolicyFormatter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads policies from files and prints their errors. */
public final class PolicyFile {
  private PolicyFile() {}

  /**
   * Reads and compiles a policy.
   *
   * @throws IOException if the file can't be read as UTF-8 text
   * @throws PolicyException if the policy is invalid, with its errors
   */
  public static CompiledPolicy compile(Path file) throws IOException, PolicyException {
    return PolicyCompiler.compile(Files.readString(file));
  }

  /**
   * Reads a policy and returns it formatted.
   *
   * @throws IOException if the file can't be read as UTF-8 text
   * @throws PolicyException if the policy has syntax errors, with these errors
   */
  static String format(Path file) throws IOException, PolicyException {
    return PolicyFormatter.format(Files.readString(file));
  }

  /** Prints the errors of a policy, one per line, with file name and position as compilers do. */
  public static void printErrors(Path file, PolicyException failure) {
    for (PolicyError error : failure.errors()) {
      System.err.println(file + ":" + error);
    }
  }
}
