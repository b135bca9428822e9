package io.moorstage.lab.process;

import io.moorstage.lab.edge.Readiness;
import io.moorstage.platform.Launcher;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Starts balancers and agents as processes on loopback addresses, and terminates them. Thread-safe.
 */
public final class Programs implements AutoCloseable {
  /** Many times the start of a program, so that a busy machine does not cause a time-out. */
  private static final int READY_TIMEOUT_MS = 10_000;

  private static final int POLL_MS = 20;

  private final LaunchCommand command;
  private final Path folder;
  private final String store;
  private final List<String> seeds;
  private final List<String> furtherSettings;
  private final List<Process> processes = new ArrayList<>();
  private boolean closed;

  /**
   * Creates an instance without processes.
   *
   * @param command the command that starts a program
   * @param folder the directory for settings files and logs
   * @param store address of the store
   * @param seeds addresses of the balancers that each program has as seeds
   */
  public Programs(LaunchCommand command, Path folder, String store, List<String> seeds) {
    this(command, folder, store, seeds, List.of());
  }

  /**
   * Creates an instance without processes, all of which get further settings.
   *
   * @param command the command that starts a program
   * @param folder the directory for settings files and logs
   * @param store address of the store
   * @param seeds addresses of the balancers that each program has as seeds
   * @param furtherSettings lines of settings
   */
  public Programs(
      LaunchCommand command,
      Path folder,
      String store,
      List<String> seeds,
      List<String> furtherSettings) {
    this.command = command;
    this.folder = folder;
    this.store = store;
    this.seeds = List.copyOf(seeds);
    this.furtherSettings = List.copyOf(furtherSettings);
  }

  private List<String> settings(String address, String zone) {
    List<String> lines = new ArrayList<>();
    lines.add("node.id: n-" + address);
    lines.add("node.zone: " + zone);
    lines.add("node.address: " + address);
    lines.add("node.peer-port: " + Ports.PEER);
    lines.add("node.state-port: " + Ports.STATE);
    lines.add("node.metrics-port: " + Ports.METRICS);
    lines.add("node.readiness-address: " + address + ":" + Ports.READY);
    // Programs use only the addresses of seeds, but the setting requires a port.
    lines.add("node.seeds: " + String.join(":1,", seeds) + ":1");
    lines.add("source.address: " + store + ":" + Ports.STORE);
    lines.add("client.address: " + address + ":" + Ports.CLIENT);
    lines.addAll(furtherSettings);
    return lines;
  }

  /** Starts a balancer without waiting until it is ready. */
  public Process startBalancer(String address, String zone) throws IOException {
    return start("balancer", address, settings(address, zone));
  }

  /** Starts an agent without waiting until it is ready. */
  public Process startAgent(String address, String zone, String service) throws IOException {
    List<String> lines = settings(address, zone);
    lines.add("agent.target-address: " + address + ":" + Ports.APP);
    lines.add("agent.egress-address: " + address + ":" + Ports.EGRESS);
    lines.add("agent.service: " + service);
    return start("agent", address, lines);
  }

  private Process start(String program, String address, List<String> settings) throws IOException {
    Path file = folder.resolve(program + address + ".yaml");
    Files.write(file, settings);
    ProcessBuilder builder = new ProcessBuilder(command.forProgram(program));
    builder.environment().put(Launcher.SETTINGS_VARIABLE, file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(program, address).toFile()));
    synchronized (processes) {
      if (closed) {
        throw new IOException("no program can be started after close");
      }
      Process process = builder.start();
      processes.add(process);
      return process;
    }
  }

  private Path logFile(String program, String address) {
    return folder.resolve(program + address + ".log");
  }

  /** Returns the log that a program has written so far. */
  public String log(String program, String address) throws IOException {
    return Files.readString(logFile(program, address));
  }

  /**
   * Waits until a program reports that it is ready.
   *
   * @throws NotReadyException if it is not ready within 10 s
   */
  public static void awaitReady(String address) throws NotReadyException, InterruptedException {
    long deadlineMs = System.currentTimeMillis() + READY_TIMEOUT_MS;
    while (!Readiness.isReady(address, Ports.READY)) {
      if (System.currentTimeMillis() >= deadlineMs) {
        throw new NotReadyException(address, READY_TIMEOUT_MS);
      }
      Thread.sleep(POLL_MS);
    }
  }

  /**
   * Sends a signal to a process.
   *
   * @param name the signal's name without the prefix SIG, such as HUP
   */
  public static void signal(Process process, String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Kills all processes that were started here, also suspended ones, and rejects new starts. */
  @Override
  public void close() throws InterruptedException {
    synchronized (processes) {
      closed = true;
      for (Process process : processes) {
        process.destroyForcibly();
      }
      for (Process process : processes) {
        process.waitFor();
      }
    }
  }
}
