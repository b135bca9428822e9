package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for the platform's routers: asks each balancer for its readiness twice a second, and
 * chooses one of those that are in by a steady hash, in the client's zone before all others.
 */
final class Router {
  private static final int PROBE_MS = 500;
  private static final int MISSES = 2;

  private final Ports ports;
  private final Record record;
  private final Map<String, String> zones = new LinkedHashMap<>();
  private final Map<String, Boolean> in = new ConcurrentHashMap<>();

  Router(Ports ports, Record record) {
    this.ports = ports;
    this.record = record;
  }

  /** Starts to probe a balancer. */
  synchronized void add(String balancer, String zone) {
    zones.put(balancer, zone);
    Thread thread = new Thread(() -> probe(balancer), "router-" + balancer);
    thread.setDaemon(true);
    thread.start();
  }

  private void probe(String balancer) {
    int misses = MISSES;
    while (true) {
      misses = isReady(balancer, ports) ? 0 : misses + 1;
      boolean isIn = misses < MISSES;
      if (!Boolean.valueOf(isIn).equals(in.put(balancer, isIn))) {
        record.add("router: balancer " + balancer + (isIn ? " is in" : " is out"));
      }
      try {
        Thread.sleep(PROBE_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Returns whether a process answers 200 at its {@code ready} address. */
  static boolean isReady(String address, Ports ports) {
    try {
      URL url = new URL("http://" + address + ":" + ports.ready() + "/-/readiness");
      HttpURLConnection connection = (HttpURLConnection) url.openConnection();
      connection.setConnectTimeout(PROBE_MS);
      connection.setReadTimeout(PROBE_MS);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns where a packet of a client's port goes; null if no balancer is in. */
  synchronized InetSocketAddress balancerFor(String zone, int clientPort) {
    List<String> own = new ArrayList<>();
    List<String> others = new ArrayList<>();
    for (Map.Entry<String, String> balancer : zones.entrySet()) {
      if (in.getOrDefault(balancer.getKey(), false)) {
        (balancer.getValue().equals(zone) ? own : others).add(balancer.getKey());
      }
    }
    String best = null;
    for (String balancer : own.isEmpty() ? others : own) {
      boolean isHigher = best == null || rank(balancer, clientPort) > rank(best, clientPort);
      best = isHigher ? balancer : best;
    }
    return best == null ? null : new InetSocketAddress(best, ports.datagram());
  }

  private static int rank(String balancer, int clientPort) {
    return (balancer.hashCode() * 31 + clientPort) * 0x9E3779B1 >>> 1;
  }
}
