package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment of one zone: store, balancers, agents, targets, routers and one client. */
final class World implements AutoCloseable {
  /** The address of the platform that the routes name. */
  final String host;

  final Net net = Net.pick();
  final Record record;
  final Store store;
  final Fleet fleet;
  final Map<String, Target> targets = new LinkedHashMap<>();
  final List<String> balancers = new ArrayList<>();
  final Target.Listener listener;
  Router router;
  Client client;

  World(String caseFolder, int balancerCount, Target.Listener listener) throws IOException {
    this.listener = listener;
    host = net.address(250);
    record = new Record(Path.of(caseFolder, "record.txt"));
    store = new Store(Net.socket(net.address(5), net.store));
    for (int i = 0; i < balancerCount; i++) {
      balancers.add(net.address(11 + i));
    }
    fleet = new Fleet(net, balancers, record);
  }

  /** Writes a configuration; it is acknowledged when this returns. Routes are "port service". */
  double configure(int version, String... routes) {
    StringBuilder json = new StringBuilder();
    List<String> services = new ArrayList<>();
    for (String route : routes) {
      String[] parts = route.split(" ");
      if (!services.contains(parts[1])) {
        services.add(parts[1]);
      }
      json.append(json.isEmpty() ? "" : ",")
          .append(
              "{\"name\":\"r%s\",\"host\":\"%s\",\"path_prefix\":\"/%s/\",\"type\":\"safe\",\"timeout_ms\":3000,\"aim_ms\":300,\"priority\":2,\"service\":\"%s\",\"max_attempts\":2}"
                  .formatted(parts[0], host, parts[0], parts[1]));
    }
    StringBuilder named = new StringBuilder();
    for (String service : services) {
      named
          .append(named.isEmpty() ? "" : ",")
          .append("{\"name\":\"" + service + "\",\"health_check_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false}");
    }
    store.put(
        "op/config",
        "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"idle_timeout_ms\":15000}}"
            .formatted(version, json, named));
    double ackedMs = record.nowMs();
    record.line("operator", "version " + version + " acknowledged: " + String.join(", ", routes));
    return ackedMs;
  }

  /** Starts a target and the agent beside it. */
  Target target(int host, String id, String service, int workMs) throws IOException {
    return target(host, id, service, "z1", workMs);
  }

  Target target(int host, String id, String service, String zone, int workMs) throws IOException {
    String address = net.address(host);
    Target target = new Target(net, id, service, zone, address, workMs, store, record, listener);
    targets.put(id, target);
    fleet.agent(address, zone, service);
    return target;
  }

  /** Starts the balancers, and waits until the routers use all of them. */
  void startBalancers() throws IOException, InterruptedException {
    startBalancers(List.of());
  }

  /** The same, with further balancers in the zone z2; the client is in z1. */
  void startBalancers(List<String> ofOtherZone) throws IOException, InterruptedException {
    for (String balancer : balancers) {
      fleet.balancer(balancer, "z1");
    }
    for (String balancer : ofOtherZone) {
      fleet.balancer(balancer, "z2");
    }
    router = new Router(net, balancers, ofOtherZone);
    long endNs = System.nanoTime() + 20_000_000_000L;
    while (router.count() < balancers.size() + ofOtherZone.size()) {
      if (System.nanoTime() > endNs) {
        throw new IOException("the balancers are not ready");
      }
      Thread.sleep(20);
    }
    client = new Client(net, net.address(101), router, record);
    record.line("router", "all balancers are in");
  }

  /** Returns the balancer that gets a flow of the client while all are in. */
  String balancerOf(int port, int toPort) {
    return Router.best(balancers, Net.number(client.address), port, toPort);
  }

  /** Returns the target that has signed a flow's last answer. */
  Target holder(Client.Flow flow) {
    for (Target target : targets.values()) {
      if (flow.answer.contains("Server-Signature: " + target.id + "\r")) {
        return target;
      }
    }
    throw new IllegalStateException("no target has signed the answer on port " + flow.port);
  }

  void requireProcesses() throws IOException {
    for (String balancer : balancers) {
      if (!fleet.isAlive(balancer)) {
        throw new IOException("balancer " + balancer + " has ended");
      }
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    fleet.close();
    if (router != null) {
      router.close();
    }
    if (client != null) {
      client.close();
    }
    for (Target target : targets.values()) {
      target.close();
    }
    store.close();
    record.close();
  }
}
