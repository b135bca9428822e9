package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * Machines are stopped and started in turn while a target leaves without a word of draining and
 * serves on.
 */
final class RollingRestart implements Case.Body {
  /** The time from the end of a process to its next start. */
  private static final int RESTART_DELAY_MS = 2_000;

  private static final int FLOWS = 30;
  private static final int FIRST_PORT = 40_001;

  @Override
  public boolean run(String folder) throws Exception {
    try (World world = new World(folder, 2, new Target.Listener() {})) {
      world.configure(3, "8443 desk", "8081 spare");
      world.target(31, "d1", "desk", 20);
      world.target(32, "d2", "desk", 20);
      world.target(33, "d3", "desk", 20);
      world.target(34, "s1", "spare", 20);
      world.startBalancers();
      Thread.sleep(5_000);
      // Flows with pauses, all through one balancer.
      String balancer = world.balancers.get(0);
      List<Client.Flow> flows = new ArrayList<>();
      for (int port = FIRST_PORT; flows.size() < FLOWS; port++) {
        if (world.balancerOf(port, 8443).equals(balancer)) {
          Client.Flow flow = world.client.open(port, world.host, 8443);
          flow.awaitOpen(1_500);
          flow.request("q" + port);
          if (!flow.awaitAnswer(3_000)) {
            throw new IllegalStateException("the first request on port " + port + " was not served");
          }
          flows.add(flow);
        }
      }
      List<Target> holders = flows.stream().map(world::holder).toList();
      Target leaving = holders.get(0);
      if (Case.TROUBLE) {
        world.fleet.stop(balancer).waitFor();
        Thread.sleep(RESTART_DELAY_MS);
        world.fleet.balancer(balancer, "z1");
        Thread.sleep(2_000);
        leaving.leaveUnsaid();
        world.fleet.stop(leaving.address).waitFor();
        world.record.line("platform", "the agent of " + leaving.id + " has ended");
        Thread restart =
            new Thread(
                () -> {
                  try {
                    Thread.sleep(RESTART_DELAY_MS);
                    world.fleet.agent(leaving.address, "z1", "desk");
                  } catch (Exception e) {
                    world.record.line("platform", "could not start the agent: " + e);
                  }
                });
        restart.setDaemon(true);
        restart.start();
      }
      for (Client.Flow flow : flows) {
        flow.request("r" + flow.port);
        Thread.sleep(60);
      }
      Thread.sleep(3_500);
      return judge(world, flows, holders);
    }
  }

  private static boolean judge(World world, List<Client.Flow> flows, List<Target> holders)
      throws Exception {
    int broken = 0;
    int served = 0;
    for (int i = 0; i < flows.size(); i++) {
      Client.Flow flow = flows.get(i);
      served += flow.answer.isEmpty() ? 0 : 1;
      if (flow.resetMs >= 0 && flow.resetBySystem && holders.get(i).isAlive()) {
        broken++;
        world.record.line(
            "judge",
            "port %d, open at %s, which lives, got a reset of the system at %.1f; request r%d %s: BROKEN"
                .formatted(
                    flow.port,
                    holders.get(i).id,
                    flow.resetMs,
                    flow.port,
                    flow.answer.isEmpty() ? "was not answered" : "was answered"));
      }
    }
    world.record.line(
        "judge", "%d of %d requests answered, %d open flows reset".formatted(served, flows.size(), broken));
    world.fleet.copyLog("event=reset-");
    world.requireProcesses();
    return broken > 0;
  }
}
