package review2;

import java.util.ArrayList;
import java.util.List;

/** Another writer leaves large entries that can't be read; then the configuration changes. */
final class BigEntries implements Case.Body {
  private static final int CONFIG_APPLY_MS = 3_000;

  /** Below `value_bytes`, 1,048,576. */
  private static final int VALUE_BYTES = 900_000;

  private static final int ENTRIES = 40;

  /** Slower than `writes_per_s`, 400, and than a link of 1,000 Mbit/s. */
  private static final int WRITE_GAP_MS = 8;

  private static final int WATCHED_MS = 10_000;

  private record Taken(String service, int port) {}

  @Override
  public boolean run(String folder) throws Exception {
    List<Taken> taken = new ArrayList<>();
    Target.Listener listener =
        new Target.Listener() {
          @Override
          public void onOpeningTaken(Target target, int client, int port, int copy) {
            synchronized (taken) {
              taken.add(new Taken(target.service, port));
            }
          }
        };
    try (World world = new World(folder, 2, listener)) {
      world.configure(3, "8443 desk", "8080 desk", "8081 spare");
      world.target(31, "d1", "desk", 20);
      world.target(32, "d2", "desk", 20);
      world.target(33, "s1", "spare", 20);
      world.startBalancers();
      Thread.sleep(6_000);
      if (Case.TROUBLE) {
        String value = "x".repeat(VALUE_BYTES);
        double startMs = world.record.nowMs();
        for (int i = 0; i < ENTRIES; i++) {
          world.store.put("servers/other-" + i, value);
          Thread.sleep(WRITE_GAP_MS);
        }
        world.record.line(
            "writer",
            "%d entries of %d bytes written in %.0f ms".formatted(ENTRIES, VALUE_BYTES, world.record.nowMs() - startMs));
      }
      Thread.sleep(500);
      double ackedMs = world.configure(5, "8443 spare", "8080 desk", "8081 spare");
      boolean broken = false;
      int port = 42_000;
      while (world.record.nowMs() < ackedMs + WATCHED_MS) {
        Thread.sleep(500);
        double sentMs = world.record.nowMs();
        Client.Flow flow = world.client.open(++port, world.host, 8443);
        flow.awaitOpen(1_500);
        String service = "nobody";
        synchronized (taken) {
          for (Taken opening : taken) {
            service = opening.port() == port ? opening.service() : service;
          }
        }
        boolean late = service.equals("desk") && sentMs - ackedMs > CONFIG_APPLY_MS;
        broken |= late;
        world.record.line(
            "judge",
            "opening of port %d, sent %.0f ms after the acknowledgement, taken by %s%s"
                .formatted(port, sentMs - ackedMs, service, late ? ": BROKEN" : ""));
      }
      world.fleet.copyLog("event=source-lost");
      world.requireProcesses();
      return broken;
    }
  }
}
