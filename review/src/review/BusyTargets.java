package review;

import java.util.ArrayList;
import java.util.List;

/**
 * The daemons beside the targets are stopped and started in turn by plan, while some flows rest, and
 * the balancer of the clients' zone leaves by plan. More than four seconds later, users keep all
 * targets busy, and the clients of the flows go on.
 */
final class BusyTargets implements Case {
  private static final int FLOWS = 30;
  private static final int USERS = 300;
  private static final int REORDER_WINDOW_MS = 2_000;
  private static final String[] ZONES = {"lac", "charguia", "ariana"};
  private static final int TARGETS = 7;

  @Override
  public String network() {
    return "127.95";
  }

  @Override
  public boolean run(Fleet fleet, Record record, boolean disrupted) throws Exception {
    fleet.configure(10, "orders");
    for (int i = 1; i <= TARGETS; i++) {
      fleet.startAgent(fleet.startTarget("t" + i, "orders", ZONES[i % ZONES.length], i));
    }
    for (int i = 1; i <= ZONES.length; i++) {
      fleet.startBalancer(i, ZONES[i - 1]);
    }
    Case.require(fleet.awaitReady(), "not all processes are ready");
    Thread.sleep(4_500);

    Client client = fleet.startClient(ZONES[0]);
    List<Client.Flow> flows = new ArrayList<>();
    for (int i = 0; i < FLOWS; i++) {
      flows.add(client.flow(fleet.route()));
    }
    Case.require(FlowCheck.openAll(flows, "first-"), "a flow could not be opened");
    if (disrupted) {
      restartAgents(fleet);
    }
    fleet.stop(fleet.balancerAddress(1));
    Thread.sleep(4_500);
    startUsers(fleet);
    Thread.sleep(1_500);
    int reset = FlowCheck.countBroken(fleet, record, flows, "next-");
    int misrouted = 0;
    for (Client.Flow flow : flows) {
      if (fleet.holderOf(flow.end()) != null
          && record.wasMisrouted(flow.end(), REORDER_WINDOW_MS)) {
        misrouted++;
        record.add("FLOW broken: for " + REORDER_WINDOW_MS + " ms three or more packets of port "
            + flow.end().port() + " reached other targets and none its own");
      }
    }
    record.add(misrouted + " of " + FLOWS + " open flows were misrouted");
    return reset == 0 && misrouted == 0;
  }

  private static void restartAgents(Fleet fleet) throws Exception {
    for (int i = 1; i <= TARGETS; i++) {
      fleet.stop(fleet.sideAddress(i));
      fleet.startAgent(fleet.targetAt(i));
      Case.require(fleet.awaitReady(), "an agent is not ready again");
    }
  }

  /** Starts users that each send their next request when the last one has been answered. */
  private static void startUsers(Fleet fleet) throws Exception {
    List<Client> clients = new ArrayList<>();
    for (String zone : ZONES) {
      clients.add(fleet.startClient(zone));
    }
    for (int i = 0; i < USERS; i++) {
      Client.Flow flow = clients.get(i % ZONES.length).flow(fleet.route());
      String name = "user-" + i + "-";
      Thread user =
          new Thread(
              () -> {
                try {
                  boolean goesOn = flow.open() == Client.Outcome.ANSWERED;
                  for (int k = 0; goesOn; k++) {
                    goesOn =
                        flow.request(Target.SLOW_PATH, name + k, FlowCheck.DEADLINE_MS)
                            == Client.Outcome.ANSWERED;
                  }
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
      user.setDaemon(true);
      user.start();
    }
  }
}
