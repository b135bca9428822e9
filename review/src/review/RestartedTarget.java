package review;

import java.util.ArrayList;
import java.util.List;

/**
 * A target crashes and starts again on its machine, while the entry of the crashed one is still in
 * the store. Clients open flows at it. Then the daemon beside it is stopped and started by plan.
 * The flows rest; when their clients go on, another balancer gets their packets, as the one of
 * their zone has been stopped by plan.
 */
final class RestartedTarget implements Case {
  private static final int FLOWS = 70;

  private static final int OPEN_EVERY_MS = 5;
  private static final int TARGETS = 12;

  /** Three heartbeats of 1,100 ms, after which the entry of a silent target goes. */
  private static final int LAPSE_MS = 3_300;

  @Override
  public String network() {
    return "127.93";
  }

  @Override
  public boolean run(Fleet fleet, Record record, boolean disrupted) throws Exception {
    fleet.configure(10, "orders");
    for (int i = 1; i <= TARGETS; i++) {
      String zone = i == 1 ? "lac" : i % 2 == 0 ? "charguia" : "ariana";
      fleet.startAgent(fleet.startTarget("t" + i, "orders", zone, i));
    }
    fleet.startBalancer(1, "lac");
    fleet.startBalancer(2, "charguia");
    Case.require(fleet.awaitReady(), "not all processes are ready");
    Thread.sleep(4_500);

    Target target = fleet.targetAt(1);
    long crashedMs = record.nowMs();
    if (disrupted) {
      target.close();
      Thread.sleep(300);
      fleet.startTarget("t1-again", "orders", "lac", 1);
    }
    Thread.sleep(300);
    Client client = fleet.startClient("lac");
    List<Client.Flow> flows = new ArrayList<>();
    for (int i = 0; i < FLOWS; i++) {
      flows.add(client.flow(fleet.route()));
    }
    Case.require(FlowCheck.openAll(flows, "first-", OPEN_EVERY_MS), "a flow could not be opened");
    if (disrupted) {
      fleet.stop(target.address());
      Thread.sleep(300);
      fleet.startAgent(fleet.targetAt(1));
      Thread.sleep(Math.max(0, crashedMs + LAPSE_MS - record.nowMs()));
      fleet.store().remove(target.key());
    }
    Thread.sleep(4_500);
    fleet.stop(fleet.balancerAddress(1));
    Thread.sleep(2_000);
    return FlowCheck.countBroken(fleet, record, flows, "second-") == 0;
  }
}
