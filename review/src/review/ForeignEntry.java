package review;

/**
 * Another writer leaves an entry below {@code servers/} that lacks most fields and names the address
 * of a target. Later that target is drained by plan.
 */
final class ForeignEntry implements Case {
  private static final int TARGETS = 4;
  private static final int DRAIN_MS = 3_000;
  private static final int SERVED_ON_MS = 9_000;
  private static final int REQUEST_EVERY_MS = 20;

  @Override
  public String network() {
    return "127.92";
  }

  @Override
  public boolean run(Fleet fleet, Record record, boolean disrupted) throws Exception {
    fleet.configure(10, "orders");
    for (int i = 1; i <= TARGETS; i++) {
      fleet.startAgent(fleet.startTarget("t" + i, "orders", zone(i), i));
    }
    fleet.startBalancer(1, zone(1));
    fleet.startBalancer(2, zone(2));
    Case.require(fleet.awaitReady(), "not all processes are ready");
    Thread.sleep(4_500);

    Target leaving = fleet.targetAt(1);
    if (disrupted) {
      fleet.store().put(
          "servers/inventory-7",
          "{\"service\":\"orders\",\"address\":\"" + leaving.address() + ":"
              + fleet.ports().app() + "\",\"state\":\"ready\"}");
    }
    Thread.sleep(1_000);
    Client client = fleet.startClient("lac");
    Case.require(flowsTo(leaving, client, fleet, 2_000) > 0, "the target gets no flows at all");
    long acknowledgedMs = fleet.store().put(leaving.key(), leaving.entry("draining"));
    flowsTo(leaving, client, fleet, DRAIN_MS);
    long lateMs = record.nowMs() - acknowledgedMs;
    Case.require(lateMs >= DRAIN_MS, "the drain has lasted " + lateMs + " ms only");
    int late = flowsTo(leaving, client, fleet, SERVED_ON_MS - DRAIN_MS);
    record.add(late + " flows were opened at " + leaving.id() + " later than " + DRAIN_MS
        + " ms after the store had accepted that it drains");
    return late == 0;
  }

  /** Opens flows for some time, one after the other; returns how many a target has taken. */
  private static int flowsTo(Target target, Client client, Fleet fleet, int durationMs)
      throws Exception {
    int taken = 0;
    long endNs = System.nanoTime() + durationMs * 1_000_000L;
    while (System.nanoTime() - endNs < 0) {
      Client.Flow flow = client.flow(fleet.route());
      boolean answered =
          flow.open() == Client.Outcome.ANSWERED
              && flow.request("post-" + flow.end().port(), 3_000) == Client.Outcome.ANSWERED;
      taken += answered && flow.answeredBy().equals(target.id()) ? 1 : 0;
      Thread.sleep(REQUEST_EVERY_MS);
    }
    return taken;
  }

  private static String zone(int number) {
    return number % 2 == 1 ? "lac" : "ariana";
  }
}
