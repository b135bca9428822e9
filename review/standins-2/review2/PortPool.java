package review2;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A client machine takes the ports of its flows from a pool in turn; a burst of users makes the
 * turn shorter. One flow in three is kept for a second request after a pause.
 */
final class PortPool implements Case.Body {
  /** The time that an agent has to run before its table of flows counts as complete. */
  private static final int AGENT_AGE_MS = 68_000;

  private static final int PORTS = 47;
  private static final int FIRST_PORT = 40_001;
  private static final double FLOWS_PER_S = 5;
  private static final double BURST_X = 1.8;
  private static final int BURST_MS = 3_300;
  private static final int BURST_AT_MS = 9_000;
  private static final int LOAD_MS = 18_000;
  private static final int PAUSE_MS = 7_000;

  private record Kept(Client.Flow flow, Target target) {}

  private final Deque<Integer> free = new ArrayDeque<>();
  private final List<Kept> kept = new ArrayList<>();
  private int notServed;

  @Override
  public boolean run(String folder) throws Exception {
    try (World world = new World(folder, 2, new Target.Listener() {})) {
      world.configure(3, "8443 desk", "8081 spare");
      world.target(31, "d1", "desk", 20);
      world.target(32, "d2", "desk", 20);
      world.target(33, "s1", "spare", 20);
      world.startBalancers();
      for (int i = 0; i < PORTS; i++) {
        free.add(FIRST_PORT + i);
      }
      Thread.sleep((long) (AGENT_AGE_MS - world.record.nowMs()));
      ExecutorService users = Executors.newCachedThreadPool();
      double startMs = world.record.nowMs();
      double nextMs = startMs;
      int count = 0;
      while (nextMs < startMs + LOAD_MS) {
        Thread.sleep(Math.max(0, (long) (nextMs - world.record.nowMs())));
        double atMs = nextMs - startMs;
        boolean burst = Case.TROUBLE && atMs >= BURST_AT_MS && atMs < BURST_AT_MS + BURST_MS;
        nextMs += 1_000 / (FLOWS_PER_S * (burst ? BURST_X : 1));
        boolean keeps = ++count % 3 == 0;
        int id = count;
        users.execute(() -> use(world, id, keeps));
      }
      Thread.sleep(PAUSE_MS + 3_000);
      users.shutdownNow();
      boolean broken = false;
      synchronized (this) {
        for (Kept one : kept) {
          if (one.flow().resetMs >= 0 && one.flow().resetBySystem && one.target().isAlive()) {
            broken = true;
            world.record.line(
                "judge",
                "port %d, open at %s, which lives, got a reset of the system at %.1f: BROKEN"
                    .formatted(one.flow().port, one.target().id, one.flow().resetMs));
          }
        }
        world.record.line(
            "judge", count + " flows, " + kept.size() + " of them kept; " + notServed + " requests not answered");
      }
      world.requireProcesses();
      return broken;
    }
  }

  private synchronized int takePort() {
    return free.removeFirst();
  }

  private synchronized void release(int port) {
    free.addLast(port);
  }

  private synchronized void countNotServed() {
    notServed++;
  }

  private synchronized void keep(Kept one) {
    kept.add(one);
  }

  private void use(World world, int id, boolean keeps) {
    try {
      Client.Flow flow = world.client.open(takePort(), world.host, 8443);
      if (!flow.awaitOpen(1_500)) {
        countNotServed();
      } else {
        if (keeps) {
          flow.request("k" + id);
          if (flow.awaitAnswer(3_000)) {
            keep(new Kept(flow, world.holder(flow)));
          }
          Thread.sleep(PAUSE_MS);
        }
        flow.lastRequest("q" + id);
        if (!flow.awaitAnswer(3_000)) {
          countNotServed();
        }
        flow.await(1_000, () -> flow.peerClosed);
        flow.close();
        flow.await(2_000, flow::hasEnded);
      }
      release(flow.port);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
