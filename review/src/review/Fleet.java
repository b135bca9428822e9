package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's balancers and agents as processes, started
 * with the commands and templates of the deploy file, between a store, targets, a router and a
 * client.
 */
final class Fleet implements AutoCloseable {
  private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");
  private static final int READY_TIMEOUT_MS = 20_000;

  private final String network;
  private final Path folder = Files.createTempDirectory("review");
  private final Ports ports = Ports.free();
  private final Record record;
  private final Store store;
  private final Router router;
  private final Map<String, Process> processes = new HashMap<>();
  private final Map<String, Target> targets = new HashMap<>();
  private final Map<String, String> balancerZones = new HashMap<>();
  private final List<Client> clients = new ArrayList<>();

  /**
   * Starts a store, and nothing else.
   *
   * @param network the first two octets of all addresses
   */
  Fleet(String network, Record record) throws IOException {
    this.network = network;
    this.record = record;
    this.store = new Store(network + ".9.1", ports.store(), record);
    this.router = new Router(ports, record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  Store store() {
    return store;
  }

  Ports ports() {
    return ports;
  }

  String balancerAddress(int number) {
    return network + ".1." + number;
  }

  String sideAddress(int number) {
    return network + ".2." + number;
  }

  /** Returns the route of an address, whose packets only the balancers see. */
  Packet.End route() {
    return Packet.End.of(network + ".200.1", 443);
  }

  /** Writes a configuration whose only route leads to a service; returns when it was accepted. */
  long configure(int version, String service) {
    return configureRoutes(version, routeJson("track", 443, service));
  }

  /**
   * Writes a configuration with or without the route of {@link #route}, and another route that no
   * client uses; returns when it was accepted.
   */
  long configure(int version, boolean withRoute) {
    String routes = routeJson("other", 444, "orders");
    return configureRoutes(version, withRoute ? routes + "," + routeJson("track", 443, "orders") : routes);
  }

  private long configureRoutes(int version, String routes) {
    return store.put(
        "op/config",
        "{\"version\":" + version + ",\"routes\":[" + routes
            + "],\"services\":[{\"name\":\"orders\",\"health_check_path\":\"/health\"},"
            + "{\"name\":\"orders-next\",\"health_check_path\":\"/health\"}],"
            + "\"limits\":{\"idle_timeout_ms\":60000}}");
  }

  private String routeJson(String name, int port, String service) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + network
        + ".200.1\",\"path_prefix\":\"/" + port + "/\",\"service\":\"" + service
        + "\",\"type\":\"safe\",\"timeout_ms\":3000,\"aim_ms\":300,\"priority\":1,"
        + "\"max_attempts\":1}";
  }

  /** Starts a target and writes its entry. */
  Target startTarget(String id, String service, String zone, int side) throws IOException {
    String address = sideAddress(side);
    Target target = new Target(id, service, zone, address, ports, record);
    targets.put(address, target);
    store.put(target.key(), target.entry("ready"));
    return target;
  }

  /** Starts the agent beside a target. */
  void startAgent(Target target) throws IOException {
    Map<String, String> values = values(target.address(), "side-" + target.address(), target.zone());
    values.put("app", target.address() + ":" + ports.app());
    values.put("bind_addrs.outbound", target.address() + ":" + ports.outbound());
    values.put("service", target.service());
    start("agent", target.address(), values);
  }

  /** Starts a balancer, which the router probes from then on. */
  void startBalancer(int number, String zone) throws IOException {
    String address = balancerAddress(number);
    start("balancer", address, values(address, "front-" + address, zone));
    if (balancerZones.put(address, zone) == null) {
      router.add(address, zone);
    }
  }

  private Map<String, String> values(String address, String name, String zone) {
    Map<String, String> values = new HashMap<>();
    values.put("node_name", name);
    values.put("zone", zone);
    values.put("ip", address);
    values.put("internal_port_range.0", Integer.toString(ports.internalFirst()));
    values.put("internal_port_range.1", Integer.toString(ports.internalLast()));
    values.put("bind_addrs.ready", address + ":" + ports.ready());
    values.put("bind_addrs.datagram_addr", address + ":" + ports.datagram());
    values.put("seeds", seeds());
    values.put("platform.address", network + ".9.1:" + ports.store());
    values.put("contracts", "base,drain,config,cost,recover,flows,platform");
    return values;
  }

  private String seeds() {
    return String.join(
        ",",
        balancerAddress(1) + ":" + ports.control(),
        balancerAddress(2) + ":" + ports.control(),
        sideAddress(1) + ":" + ports.control());
  }

  private void start(String role, String address, Map<String, String> values) throws IOException {
    String deploy = Files.readString(DEPLOY_FILE);
    String section = deploy.substring(deploy.indexOf("[roles." + role + "]"));
    Path settings = folder.resolve(role + "-" + address + ".yaml");
    Files.writeString(settings, fill(Files.readString(Path.of(value(section, "template"))), values));
    ProcessBuilder builder = new ProcessBuilder(value(section, "run").split(" "));
    builder.environment().put("MOORSTAGE_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    Path log = folder.resolve(role + "-" + address + ".log");
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    synchronized (processes) {
      processes.put(address, builder.start());
    }
    record.add(role + " " + address + " starts");
  }

  private static String value(String section, String key) {
    Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(section);
    if (!matcher.find()) {
      throw new IllegalStateException("no " + key + " in the deploy file");
    }
    return matcher.group(1);
  }

  private static String fill(String template, Map<String, String> values) {
    return Pattern.compile("\\{\\{([\\w.]+)}}")
        .matcher(template)
        .replaceAll(gap -> Matcher.quoteReplacement(values.getOrDefault(gap.group(1), "")));
  }

  /** Starts a client machine in a zone. */
  Client startClient(String zone) throws IOException {
    Client client =
        new Client(network + ".3." + (clients.size() + 1), zone, router, ports, record);
    clients.add(client);
    return client;
  }

  /** Waits until all started processes are ready; returns whether they are. */
  boolean awaitReady() throws InterruptedException {
    long deadlineMs = record.nowMs() + READY_TIMEOUT_MS;
    List<String> addresses;
    synchronized (processes) {
      addresses = List.copyOf(processes.keySet());
    }
    for (String address : addresses) {
      while (!Router.isReady(address, ports)) {
        if (record.nowMs() > deadlineMs) {
          record.add("process " + address + " is not ready");
          return false;
        }
        Thread.sleep(50);
      }
    }
    record.add("all processes are ready");
    return true;
  }

  /** Stops a process with SIGTERM and waits for its end. */
  void stop(String address) throws InterruptedException {
    Process process = process(address);
    record.add("SIGTERM to " + address);
    process.destroy();
    process.waitFor();
    record.add("process " + address + " has ended");
  }

  /** Kills processes with SIGKILL, all at the same moment. */
  void kill(List<String> addresses) throws InterruptedException {
    record.add("SIGKILL to " + addresses);
    for (String address : addresses) {
      process(address).destroyForcibly();
    }
    for (String address : addresses) {
      process(address).waitFor();
    }
  }

  private Process process(String address) {
    synchronized (processes) {
      return processes.get(address);
    }
  }

  /** Returns the target that runs at an address of a side machine. */
  Target targetAt(int side) {
    return targets.get(sideAddress(side));
  }

  /** Returns the running target that holds the open flow of a client's end; null if none does. */
  Target holderOf(Packet.End client) {
    for (Target target : targets.values()) {
      if (target.holds(client)) {
        return target;
      }
    }
    return null;
  }

  private void killAll() {
    synchronized (processes) {
      processes.values().forEach(Process::destroyForcibly);
    }
  }

  @Override
  public void close() throws IOException {
    killAll();
    for (Client client : clients) {
      client.close();
    }
    for (Target target : targets.values()) {
      target.close();
    }
    store.close();
    if (System.getenv("KEEP_LOGS") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    } else {
      System.err.println("logs: " + folder);
    }
  }
}
