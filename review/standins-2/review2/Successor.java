package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * A target crashes, and its successor starts while the entry of the crashed one is still listed;
 * then machines are stopped and started in turn, first the agent beside it.
 */
final class Successor implements Case.Body {
  private static final int DESKS = 18;
  private static final int FLOWS = 100;

  /** Three heartbeats. */
  private static final int LAPSE_MS = 3_600;

  private static final int RESTART_DELAY_MS = 500;

  private record Opened(Client.Flow flow, Target holder) {}

  @Override
  public boolean run(String folder) throws Exception {
    try (World world = new World(folder, 1, new Target.Listener() {})) {
      world.configure(3, "8443 desk", "8081 spare");
      for (int i = 1; i <= DESKS; i++) {
        world.target(30 + i, "d" + i, "desk", i <= 2 ? "z1" : "z2", 5);
      }
      world.target(61, "s1", "spare", 5);
      world.startBalancers(List.of(world.net.address(21)));
      Thread.sleep(6_000);
      double startMs = world.record.nowMs();
      String address = world.net.address(31);
      if (Case.TROUBLE) {
        world.targets.get("d1").close();
        world.record.line("platform", "d1 has crashed; its entry is still listed");
        Thread.sleep(400);
        world.targets.put(
            "d1b",
            new Target(
                world.net, "d1b", "desk", "z1", address, 5, world.store, world.record, world.listener));
        world.record.line("platform", "d1b has started at the same address");
        Thread.sleep(100);
      }
      String balancer = world.balancers.get(0);
      List<Client.Flow> opening = new ArrayList<>();
      for (int port = 40_001; opening.size() < FLOWS; port++) {
        if (world.balancerOf(port, 8443).equals(balancer)) {
          opening.add(world.client.open(port, world.host, 8443));
          Thread.sleep(8);
        }
      }
      Thread.sleep(200);
      for (Client.Flow flow : opening) {
        if (flow.isOpen()) {
          flow.request("q" + flow.port);
        }
      }
      Thread.sleep(300);
      List<Opened> flows = new ArrayList<>();
      for (Client.Flow flow : opening) {
        if (!flow.answer.isEmpty()) {
          flows.add(new Opened(flow, world.holder(flow)));
        }
      }
      world.record.line("client", flows.size() + " flows are open and have been served");
      if (Case.TROUBLE) {
        world.fleet.stop(address).waitFor();
        Thread.sleep(RESTART_DELAY_MS);
        world.fleet.agent(address, "z1", "desk");
        Thread.sleep(Math.max(0, (long) (startMs + LAPSE_MS - world.record.nowMs())));
        world.store.remove("servers/d1");
        world.record.line("platform", "the entry of d1 has lapsed");
        Thread.sleep(4_500);
        world.fleet.stop(balancer).waitFor();
        Thread.sleep(RESTART_DELAY_MS);
        world.fleet.balancer(balancer, "z1");
      }
      for (Opened opened : flows) {
        opened.flow().request("r" + opened.flow().port);
        Thread.sleep(10);
      }
      Thread.sleep(4_000);
      int broken = 0;
      int served = 0;
      int atSuccessor = 0;
      for (Opened opened : flows) {
        Client.Flow flow = opened.flow();
        served += flow.answer.isEmpty() ? 0 : 1;
        atSuccessor += opened.holder().id.equals("d1b") ? 1 : 0;
        if (flow.resetMs >= 0 && flow.resetBySystem && opened.holder().isAlive()) {
          broken++;
          world.record.line(
              "judge",
              "port %d, open at %s, which lives, got a reset of the system at %.1f: BROKEN"
                  .formatted(flow.port, opened.holder().id, flow.resetMs));
        }
      }
      world.record.line(
          "judge",
          "%d of %d requests answered; %d open flows reset; %d flows were open at d1b"
              .formatted(served, flows.size(), broken, atSuccessor));
      world.requireProcesses();
      return broken > 0;
    }
  }
}
