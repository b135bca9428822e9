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

/** Runs the fault soak with the real jar; fails if something that must hold was broken. */
@Parameters(commandDescription = "Run a small fleet under random faults and judge what must hold")
public final class SoakCommand implements LabCommand {
  private static final int SEED_BOUND = 1 << 30;

  @Parameter(names = "--minutes", description = "How long faults go on")
  private int minutes = 1;

  @Parameter(names = "--seed", description = "Decides the faults; a fresh one if left out")
  private Long seed;

  @Parameter(names = "--moves", description = "A route moves between services")
  private boolean moves;

  @Parameter(names = "--restores", description = "The store comes back from older copies")
  private boolean restores;

  @Parameter(names = "--jar", description = "The programs to run")
  private Path jar = Build.jar();

  @Override
  public int run() throws IOException, NotReadyException, InterruptedException {
    long chosen = seed == null ? new Random().nextInt(SEED_BOUND) : seed;
    Path folder = Build.output("soak").resolve("seed-" + chosen);
    System.out.println("soak seed=" + chosen + " minutes=" + minutes + " logs=" + folder);
    FaultSoak soak =
        new FaultSoak(chosen, new SoakOptions(moves, restores), LaunchCommand.ofJar(jar), folder);
    Thread end = new Thread(() -> endBySignal(soak), "end");
    Runtime.getRuntime().addShutdownHook(end);
    try (soak) {
      soak.start();
      soak.run((int) TimeUnit.MINUTES.toMillis(minutes));
    }
    Runtime.getRuntime().removeShutdownHook(end);
    System.out.println("soak seed=" + chosen + " " + soak.summary());
    for (String breach : soak.breaches()) {
      System.out.println("broken " + breach);
    }
    return soak.breaches().isEmpty() ? ExitCode.DONE : ExitCode.FAILED;
  }

  private static void endBySignal(FaultSoak soak) {
    try {
      soak.close();
    } catch (IOException | InterruptedException e) {
      System.err.println("soak: could not end all: " + e);
    }
  }
}
