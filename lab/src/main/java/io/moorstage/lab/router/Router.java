package io.moorstage.lab.router;

import io.moorstage.lab.edge.Readiness;
import io.moorstage.lab.process.Ports;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Assigns each flow to one of the ready balancers by rendezvous hashing. Thread-safe. */
public final class Router implements AutoCloseable {
  /** The platform probes twice a second. */
  private static final int PROBE_INTERVAL_MS = 500;

  /** A balancer is removed after this number of consecutive failed probes. */
  private static final int FAILURES_UNTIL_REMOVAL = 2;

  /** The golden ratio as a fraction of 2^32; spreads adjacent ports over all ranks. */
  private static final int HASH_MULTIPLIER = 0x9E3779B1;

  private static final int ADDRESS_FACTOR = 31;

  private final Map<String, InetSocketAddress> readyBalancers = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /**
   * Starts to probe the balancers, each on its own thread, since a probe of an unresponsive
   * balancer blocks until its time-out.
   */
  public Router(List<String> balancers) {
    for (String balancer : balancers) {
      Thread thread = new Thread(() -> probeUntilClosed(balancer), "readiness-" + balancer);
      thread.setDaemon(true);
      thread.start();
    }
  }

  private void probeUntilClosed(String balancer) {
    int failures = 0;
    while (!closed) {
      failures = Readiness.isReady(balancer, Ports.READY) ? 0 : failures + 1;
      if (failures == 0) {
        readyBalancers.put(balancer, new InetSocketAddress(balancer, Ports.CLIENT));
      } else if (failures >= FAILURES_UNTIL_REMOVAL) {
        readyBalancers.remove(balancer);
      }
      try {
        Thread.sleep(PROBE_INTERVAL_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Returns the balancer for packets of a client's port; empty while no balancer is ready. */
  public Optional<InetSocketAddress> balancerFor(int clientPort) {
    InetSocketAddress best = null;
    int bestRank = 0;
    for (Map.Entry<String, InetSocketAddress> ready : readyBalancers.entrySet()) {
      int flowHash = ready.getKey().hashCode() * ADDRESS_FACTOR + clientPort;
      int rank = (flowHash * HASH_MULTIPLIER) >>> 1;
      if (best == null || rank > bestRank) {
        best = ready.getValue();
        bestRank = rank;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Stops the probes. */
  @Override
  public void close() {
    closed = true;
  }
}
