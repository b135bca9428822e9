package review;

/**
 * Another writer leaves an entry below {@code servers/} whose service is a long text that names none
 * of the services. Later the operator drops a route.
 */
final class OversizedEntry implements Case {
  private static final int TARGETS = 4;
  private static final int CONFIG_APPLY_MS = 3_000;
  private static final int FLOWS_AFTER_MS = 5_000;

  /** Far below the 1,048,576 bytes that an item of the store may have. */
  private static final int SERVICE_LENGTH = 70_000;

  @Override
  public String network() {
    return "127.94";
  }

  @Override
  public boolean run(Fleet fleet, Record record, boolean disrupted) throws Exception {
    fleet.configure(10, true);
    for (int i = 1; i <= TARGETS; i++) {
      fleet.startAgent(fleet.startTarget("t" + i, "orders", i % 2 == 1 ? "lac" : "ariana", i));
    }
    fleet.startBalancer(1, "lac");
    fleet.startBalancer(2, "lac");
    fleet.startBalancer(3, "ariana");
    Case.require(fleet.awaitReady(), "not all processes are ready");
    Thread.sleep(4_500);

    if (disrupted) {
      fleet.store().put(
          "servers/inventory-7",
          "{\"service\":\"" + "s".repeat(SERVICE_LENGTH) + "\",\"address\":\""
              + fleet.sideAddress(99) + ":" + fleet.ports().app() + "\",\"zone\":\"lac\","
              + "\"version\":\"1.0\",\"capacity\":5,\"state\":\"ready\","
              + "\"cold_remaining_ms\":0,\"sequence\":1}");
    }
    Thread.sleep(1_000);
    Client client = fleet.startClient("lac");
    Case.require(flows(client, fleet, 1_000) > 0, "the route does not work");
    long acknowledgedMs = fleet.configure(17, false);
    Thread.sleep(CONFIG_APPLY_MS + 100);
    Case.require(record.nowMs() - acknowledgedMs > CONFIG_APPLY_MS, "the wait was too short");
    int late = flows(client, fleet, FLOWS_AFTER_MS);
    record.add(late + " flows were opened over the dropped route by clients that had sent their "
        + "first packet later than " + CONFIG_APPLY_MS + " ms after the store had accepted it");
    return late == 0;
  }

  /** Opens flows for some time, one after the other; returns how many targets have taken. */
  private static int flows(Client client, Fleet fleet, int durationMs) throws Exception {
    int taken = 0;
    long endNs = System.nanoTime() + durationMs * 1_000_000L;
    while (System.nanoTime() - endNs < 0) {
      Client.Flow flow = client.flow(fleet.route());
      boolean answered =
          flow.open() == Client.Outcome.ANSWERED
              && flow.request("late-" + flow.end().port(), 3_000) == Client.Outcome.ANSWERED;
      taken += answered ? 1 : 0;
      Thread.sleep(20);
    }
    return taken;
  }
}
