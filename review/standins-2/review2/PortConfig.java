package review2;

import java.util.ArrayList;
import java.util.List;

/** A route moves to another service, and a client opens flows from a port that it has used before. */
final class PortConfig implements Case.Body {
  private static final int CONFIG_APPLY_MS = 3_000;
  private static final int PORT = 40_001;

  private record Taken(String service, int port, double atMs) {}

  @Override
  public boolean run(String folder) throws Exception {
    List<Taken> taken = new ArrayList<>();
    World[] holder = new World[1];
    Target.Listener listener =
        new Target.Listener() {
          @Override
          public synchronized void onOpeningTaken(Target target, int client, int port, int copy) {
            taken.add(new Taken(target.service, port, holder[0].record.nowMs()));
          }
        };
    try (World world = new World(folder, 2, listener)) {
      holder[0] = world;
      world.configure(3, "8443 desk", "8080 desk", "8081 spare");
      world.target(31, "d1", "desk", 20);
      world.target(32, "d2", "desk", 20);
      world.target(33, "s1", "spare", 20);
      world.target(34, "s2", "spare", 20);
      world.startBalancers();
      Thread.sleep(5_000);
      if (!exchange(world, PORT, "q1")) {
        throw new IllegalStateException("the first request was not served");
      }
      double ackedMs = Double.MAX_VALUE;
      if (Case.TROUBLE) {
        ackedMs = world.configure(5, "8443 spare", "8080 desk", "8081 spare");
      }
      boolean broken = false;
      for (int i = 2; i <= 5; i++) {
        Thread.sleep(3_700);
        int before = taken.size();
        double sentMs = world.record.nowMs();
        boolean served = exchange(world, PORT, "q" + i);
        // A port of its own shows that the newer version is in force at the same moment.
        exchange(world, PORT + i, "fresh" + i);
        for (Taken opening : new ArrayList<>(taken).subList(before, taken.size())) {
          boolean late = sentMs - ackedMs > CONFIG_APPLY_MS && opening.service().equals("desk");
          world.record.line(
              "judge",
              "opening of port " + opening.port() + " taken by " + opening.service()
                  + (late ? ", sent %.0f ms after the acknowledgement: BROKEN".formatted(sentMs - ackedMs) : ""));
          broken |= late;
        }
        world.record.line("judge", "request q" + i + (served ? " served" : " not served"));
      }
      world.requireProcesses();
      return broken;
    }
  }

  private static boolean exchange(World world, int port, String id) throws InterruptedException {
    Client.Flow flow = world.client.open(port, world.host, 8443);
    if (!flow.awaitOpen(1_500)) {
      return false;
    }
    // The target closes first, so that the client's port is free once it has closed too.
    flow.lastRequest(id);
    boolean served = flow.awaitAnswer(3_000);
    flow.await(1_000, () -> flow.peerClosed);
    flow.close();
    flow.await(2_000, flow::hasEnded);
    return served;
  }
}
