package review;

import java.util.ArrayList;
import java.util.List;

/**
 * The operator moves a route to another service; open flows stay where they are. Then all processes
 * of the system are killed at the same moment and started again. Four seconds and more after that,
 * the clients of the flows send their next requests.
 */
final class MovedRoute implements Case {
  private static final int FLOWS = 12;
  private static final int TARGETS = 3;

  @Override
  public String network() {
    return "127.91";
  }

  @Override
  public boolean run(Fleet fleet, Record record, boolean disrupted) throws Exception {
    fleet.configure(10, "orders");
    List<String> machines = new ArrayList<>();
    for (int i = 1; i <= 2 * TARGETS; i++) {
      String service = i <= TARGETS ? "orders" : "orders-next";
      Target target = fleet.startTarget("t" + i + "-" + service, service, zone(i), i);
      fleet.startAgent(target);
      machines.add(target.address());
    }
    startBalancers(fleet);
    machines.add(fleet.balancerAddress(1));
    machines.add(fleet.balancerAddress(2));
    Case.require(fleet.awaitReady(), "not all processes are ready");
    Thread.sleep(4_500);

    Client client = fleet.startClient("lac");
    List<Client.Flow> flows = new ArrayList<>();
    for (int i = 0; i < FLOWS; i++) {
      flows.add(client.flow(fleet.route()));
    }
    Case.require(FlowCheck.openAll(flows, "first-"), "a flow could not be opened");
    fleet.configure(17, "orders-next");
    Thread.sleep(4_500);
    Client.Flow later = client.flow(fleet.route());
    Case.require(FlowCheck.openAll(List.of(later), "later-"), "no flow under the new version");
    Case.require(later.answeredBy().endsWith("orders-next"), "the new version is not in force");
    for (Client.Flow flow : flows) {
      Case.require(
          flow.request("second-" + flow.end().port(), 3_000) == Client.Outcome.ANSWERED,
          "a flow did not outlive the change");
    }

    if (disrupted) {
      fleet.kill(machines);
      Thread.sleep(1_000);
      for (int i = 1; i <= 2 * TARGETS; i++) {
        fleet.startAgent(fleet.targetAt(i));
      }
      startBalancers(fleet);
      Case.require(fleet.awaitReady(), "not all processes are ready again");
    }
    Thread.sleep(6_000);
    return FlowCheck.countBroken(fleet, record, flows, "third-") == 0;
  }

  private static void startBalancers(Fleet fleet) throws Exception {
    fleet.startBalancer(1, zone(1));
    fleet.startBalancer(2, zone(2));
  }

  private static String zone(int number) {
    return number % 2 == 1 ? "lac" : "ariana";
  }
}
