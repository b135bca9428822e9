package io.moorstage.lab.check;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.moorstage.lab.ExitCode;
import io.moorstage.lab.LabCommand;
import io.moorstage.policy.CompiledPolicy;
import io.moorstage.policy.PolicyException;
import java.io.IOException;
import java.nio.file.Path;

/** Compiles a policy file and prints a summary, the formatted policy, or the errors. */
@Parameters(commandDescription = "Compile a policy file and print its errors with their positions")
public final class CheckCommand implements LabCommand {
  @Parameter(description = "FILE", required = true)
  private String name;

  @Parameter(names = "--format", description = "Print the formatted policy, if it has no errors")
  private boolean format;

  @Override
  public int run() throws IOException {
    Path file = Path.of(name);
    try {
      CompiledPolicy policy = PolicyFile.compile(file);
      System.out.print(format ? PolicyFile.format(file) : summary(policy));
      return ExitCode.DONE;
    } catch (PolicyException e) {
      PolicyFile.printErrors(file, e);
      return ExitCode.FAILED;
    }
  }

  private String summary(CompiledPolicy policy) {
    return String.format(
        "%s: zones=%d routes=%d targets=%d%n",
        name,
        policy.zones().size(),
        policy.configuration().routes().size(),
        policy.targets().size());
  }
}
