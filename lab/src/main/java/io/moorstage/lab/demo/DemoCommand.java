package io.moorstage.lab.demo;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.moorstage.lab.ExitCode;
import io.moorstage.lab.LabCommand;
import io.moorstage.lab.check.PolicyFile;
import io.moorstage.lab.process.Build;
import io.moorstage.lab.process.LaunchCommand;
import io.moorstage.lab.process.NotReadyException;
import io.moorstage.policy.PolicyException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Runs a small deployment under load; fails if a rule was broken. */
@Parameters(
    commandDescription =
        "Run a small deployment under load, kill a balancer and drain a target meanwhile")
public final class DemoCommand implements LabCommand {
  @Parameter(names = "--policy", description = "Policy whose first two zones are started")
  private Path policy = Build.root().resolve("examples").resolve("tunis.policy");

  @Parameter(names = "--jar", description = "Jar of the programs to run")
  private Path jar = Build.jar();

  @Parameter(names = "--logs", description = "Folder for settings and logs")
  private Path logs = Build.output("demo");

  @Override
  public int run() throws IOException, NotReadyException, InterruptedException {
    try {
      return run(Deployment.of(PolicyFile.compile(policy)));
    } catch (PolicyException e) {
      PolicyFile.printErrors(policy, e);
    } catch (DeploymentException e) {
      System.err.println("failure=policy-too-small detail=\"" + e.getMessage() + '"');
    }
    return ExitCode.FAILED;
  }

  private int run(Deployment deployment)
      throws IOException, NotReadyException, InterruptedException {
    System.out.println("logs of all programs: " + logs);
    Demo demo = new Demo(deployment, LaunchCommand.ofJar(jar), logs);
    Thread shutdownHook = new Thread(() -> closeOnShutdown(demo), "end");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    List<String> breaches;
    try (demo) {
      breaches = demo.run();
    }
    for (String breach : breaches) {
      System.out.println("broken " + breach);
    }
    return breaches.isEmpty() ? ExitCode.DONE : ExitCode.FAILED;
  }

  // After a regular end, this closes the demonstration a second time, which has no effect.
  private static void closeOnShutdown(Demo demo) {
    try {
      demo.close();
    } catch (IOException | InterruptedException e) {
      System.err.println("demo: could not stop all programs and stand-ins: " + e);
    }
  }
}
