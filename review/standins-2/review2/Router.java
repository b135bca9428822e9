package review2;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The routers of a zone: probe readiness twice a second, and hash flows steadily over the balancers
 * of the zone that are in; over those of the other zone if none is.
 */
final class Router implements AutoCloseable {
  private final Map<String, InetSocketAddress> in = new ConcurrentHashMap<>();
  private final Net net;
  private final List<String> ofZone;
  private volatile boolean closed;

  Router(Net net, List<String> ofZone, List<String> ofOtherZone) {
    this.net = net;
    this.ofZone = List.copyOf(ofZone);
    List<String> all = new ArrayList<>(ofZone);
    all.addAll(ofOtherZone);
    for (String balancer : all) {
      Thread thread = new Thread(() -> probe(balancer), "router");
      thread.setDaemon(true);
      thread.start();
    }
  }

  private void probe(String balancer) {
    int misses = 0;
    try {
      while (!closed) {
        misses = isReady(balancer) ? 0 : misses + 1;
        if (misses == 0) {
          in.put(balancer, Net.socket(balancer, net.datagram));
        } else if (misses >= 2) {
          in.remove(balancer);
        }
        Thread.sleep(500);
      }
    } catch (InterruptedException | IOException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean isReady(String balancer) {
    try {
      URL url = new URL("http://" + balancer + ":" + net.ready + "/-/readiness");
      HttpURLConnection connection = (HttpURLConnection) url.openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  int count() {
    return in.size();
  }

  InetSocketAddress of(int address, int port, int toPort) {
    List<String> near = ofZone.stream().filter(in::containsKey).toList();
    String best = best(near.isEmpty() ? in.keySet() : near, address, port, toPort);
    return best == null ? null : in.get(best);
  }

  /** Returns the balancer that gets a flow while some balancers are in; null if none is. */
  static String best(Collection<String> balancers, int address, int port, int toPort) {
    String best = null;
    int bestRank = 0;
    for (String balancer : balancers) {
      int hash = ((balancer.hashCode() * 31 + address) * 31 + port) * 31 + toPort;
      int rank = (hash ^ hash >>> 15) * 0x9E3779B1 >>> 1;
      if (best == null || rank > bestRank) {
        best = balancer;
        bestRank = rank;
      }
    }
    return best;
  }


  @Override
  public void close() {
    closed = true;
  }
}
