package review2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Machines of a service are lost, and the operator moves its route while openings are repeated. */
final class Copies implements Case.Body {
  private static final int ROLLBACK_SLACK_MS = 250;

  private static final int DESKS = 8;
  private static final int LOST = 6;

  private record Taken(String service, int port, int copy, double atMs) {}

  @Override
  public boolean run(String folder) throws Exception {
    List<Taken> taken = new ArrayList<>();
    World[] holder = new World[1];
    Target.Listener listener =
        new Target.Listener() {
          @Override
          public void onOpeningTaken(Target target, int client, int port, int copy) {
            synchronized (taken) {
              taken.add(new Taken(target.service, port, copy, holder[0].record.nowMs()));
            }
          }
        };
    try (World world = new World(folder, 3, listener)) {
      holder[0] = world;
      world.configure(3, "8443 desk", "8080 desk", "8081 spare");
      for (int i = 1; i <= DESKS; i++) {
        world.target(30 + i, "d" + i, "desk", 20);
      }
      world.target(41, "s1", "spare", 20);
      world.target(42, "s2", "spare", 20);
      world.startBalancers();
      Thread.sleep(6_000);
      Map<Integer, Client.Flow> flows = new HashMap<>();
      if (Case.TROUBLE) {
        for (int i = 1; i <= LOST; i++) {
          world.fleet.kill(world.net.address(30 + i));
          world.targets.get("d" + i).close();
        }
      }
      for (int i = 0; i < 120; i++) {
        if (i == 60) {
          world.configure(5, "8443 spare", "8080 desk", "8081 spare");
        }
        flows.put(41_000 + i, world.client.open(41_000 + i, world.host, 8443));
        Thread.sleep(i < 60 ? 1 : 5);
      }
      Thread.sleep(3_000);
      boolean broken;
      synchronized (taken) {
        broken = judge(world, taken, flows);
      }
      world.requireProcesses();
      return broken;
    }
  }

  // A machine is judged by the effects that went through itself.
  private static boolean judge(World world, List<Taken> taken, Map<Integer, Client.Flow> flows) {
    Map<String, Double> effectMs = new HashMap<>();
    for (Taken opening : taken) {
      String balancer = world.balancerOf(opening.port(), 8443);
      if (opening.service().equals("spare") && effectMs.putIfAbsent(balancer, opening.atMs()) == null) {
        world.record.line(
            "judge", "first effect of version 5 through %s at %.1f".formatted(balancer, opening.atMs()));
      }
    }
    boolean broken = false;
    for (Taken opening : taken) {
      String balancer = world.balancerOf(opening.port(), 8443);
      double sentMs = flows.get(opening.port()).sentMs[opening.copy()];
      double afterMs = sentMs - effectMs.getOrDefault(balancer, Double.MAX_VALUE);
      if (opening.service().equals("desk") && afterMs > ROLLBACK_SLACK_MS) {
        broken = true;
        world.record.line(
            "judge",
            "port %d: copy %d, sent %.0f ms after that effect through %s, was taken by desk at %.1f: BROKEN"
                .formatted(opening.port(), opening.copy(), afterMs, balancer, opening.atMs()));
      }
    }
    return broken;
  }
}
