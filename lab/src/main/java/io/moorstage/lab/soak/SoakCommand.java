package io.moorstage.lab.soak;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.moorstage.lab.ExitCode;
import io.moorstage.lab.LabCommand;
import io.moorstage.lab.process.Build;
import io.moorstage.lab.process.LaunchCommand;
import io.moorstage.lab.process.NotReadyException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Runs the fault soak with the real jar; fails if a rule was broken. */
@Parameters(
    commandDescription = "Run a small fleet under random faults and check the rules that must hold")
public final class SoakCommand implements LabCommand {
  private static final int SEED_BOUND = 1 << 30;

  @Parameter(names = "--minutes", description = "Minutes during which faults are injected")
  private int minutes = 1;

  @Parameter(names = "--seed", description = "Seed of the faults; random if left out")
  private Long seed;

  @Parameter(names = "--moves", description = "Also move a route between services")
  private boolean moves;

  @Parameter(names = "--restores", description = "Also restore the store from older copies")
  private boolean restores;

  @Parameter(names = "--load", description = "Also overload targets of unequal speed")
  private boolean load;

  @Parameter(names = "--starved", description = "Also keep restarted processes short of processor")
  private boolean starved;

  @Parameter(names = "--jar", description = "Jar of the programs to run")
  private Path jar = Build.jar();

  @Override
  public int run() throws IOException, NotReadyException, InterruptedException {
    long usedSeed = seed == null ? new Random().nextInt(SEED_BOUND) : seed;
    Path folder = Build.output("soak").resolve("seed-" + usedSeed);
    System.out.println("soak seed=" + usedSeed + " minutes=" + minutes + " logs=" + folder);
    FaultSoak soak =
        new FaultSoak(
            usedSeed,
            new SoakOptions(moves, restores, load, starved),
            LaunchCommand.ofJar(jar),
            folder);
    Thread shutdownHook = new Thread(() -> closeOnShutdown(soak), "end");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try (soak) {
      soak.start();
      soak.run((int) TimeUnit.MINUTES.toMillis(minutes));
    }
    Runtime.getRuntime().removeShutdownHook(shutdownHook);
    System.out.println("soak seed=" + usedSeed + " " + soak.summary());
    for (String breach : soak.breaches()) {
      System.out.println("broken " + breach);
    }
    return soak.breaches().isEmpty() ? ExitCode.DONE : ExitCode.FAILED;
  }

  private static void closeOnShutdown(FaultSoak soak) {
    try {
      soak.close();
    } catch (IOException | InterruptedException e) {
      System.err.println("soak: could not stop all programs and stand-ins: " + e);
    }
  }
}
