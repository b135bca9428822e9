package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** The project's programs as processes, with the commands and templates of its deploy file. */
final class Fleet implements AutoCloseable {
  private final Net net;
  private final Path root = Path.of("").toAbsolutePath();
  private final Path folder = Files.createTempDirectory("review-2-");
  private final List<String> seeds;
  private final Record record;
  private final Map<String, Process> processes = new HashMap<>();
  private final List<Process> all = new ArrayList<>();

  Fleet(Net net, List<String> balancers, Record record) throws IOException {
    this.net = net;
    this.record = record;
    List<String> controls = new ArrayList<>();
    for (String balancer : balancers.subList(0, Math.min(3, balancers.size()))) {
      controls.add(balancer + ":" + net.control);
    }
    seeds = controls;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  void balancer(String address, String zone) throws IOException {
    start("balancer", address, zone, "");
  }

  void agent(String address, String zone, String service) throws IOException {
    start("agent", address, zone, service);
  }

  private void start(String role, String address, String zone, String service) throws IOException {
    String settings = Files.readString(root.resolve("deploy/" + role + ".yaml"));
    Map<String, String> values = new HashMap<>();
    values.put("node_name", role + "-" + address);
    values.put("zone", zone);
    values.put("ip", address);
    values.put("internal_port_range.0", "" + net.peer);
    values.put("internal_port_range.1", "" + net.state);
    values.put("bind_addrs.ready", address + ":" + net.ready);
    values.put("bind_addrs.datagram_addr", address + ":" + net.datagram);
    values.put("bind_addrs.outbound", address + ":" + net.outbound);
    values.put("seeds", String.join(",", seeds));
    values.put("platform.address", net.address(5) + ":" + net.store);
    values.put("contracts", "base,drain,config,cost,recover,flows,platform");
    values.put("app", address + ":" + net.app);
    values.put("service", service);
    for (Map.Entry<String, String> value : values.entrySet()) {
      settings = settings.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    Path file = folder.resolve(role + "-" + address + ".yaml");
    Files.writeString(file, settings);
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run =
        Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no command for " + role);
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("MOORSTAGE_NODE_FILE", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(role + "-" + address + ".log").toFile()));
    Process process = builder.start();
    processes.put(address, process);
    all.add(process);
    record.line("platform", "starts " + role + " " + address + " " + service);
  }

  void kill(String address) {
    record.line("platform", "SIGKILL to " + address);
    processes.get(address).destroyForcibly();
  }

  /** SIGTERM. */
  Process stop(String address) {
    record.line("platform", "SIGTERM to " + address);
    Process process = processes.get(address);
    process.destroy();
    return process;
  }

  boolean isAlive(String address) {
    return processes.get(address).isAlive();
  }

  /** Copies the lines of the programs' logs that hold a text to the record. */
  void copyLog(String text) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".log")).sorted().toList()) {
        for (String line : Files.readAllLines(file)) {
          if (line.contains(text)) {
            record.line("log", file.getFileName() + ": " + line);
          }
        }
      }
    }
  }

  private void killAll() {
    all.forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws IOException, InterruptedException {
    killAll();
    for (Process process : all) {
      process.waitFor(5, TimeUnit.SECONDS);
    }
    if (System.getenv("KEEP_LOGS") != null) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
