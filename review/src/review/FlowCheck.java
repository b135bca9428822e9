package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Judges rule FLOW (a) for flows that have rested: no reset while the flow's target lives. */
final class FlowCheck {
  /** The deadline of requests on long flows in the sheet of jrc-subs-grown. */
  static final int DEADLINE_MS = 3_170;

  private FlowCheck() {}

  /** Opens flows and sends a first request on each; returns whether all were answered. */
  static boolean openAll(List<Client.Flow> flows, String prefix) throws InterruptedException {
    for (int i = 0; i < flows.size(); i++) {
      boolean answered =
          flows.get(i).open() == Client.Outcome.ANSWERED
              && flows.get(i).request(prefix + i, DEADLINE_MS) == Client.Outcome.ANSWERED;
      if (!answered) {
        return false;
      }
    }
    return true;
  }

  /**
   * Sends the next request on each flow, on all at the same moment.
   *
   * @return how many clients got a reset although a target held their open flow all the while; no
   *     target of the review ever sends a reset
   */
  static int countBroken(Fleet fleet, Record record, List<Client.Flow> flows, String prefix)
      throws InterruptedException {
    AtomicInteger broken = new AtomicInteger();
    CountDownLatch start = new CountDownLatch(1);
    List<Thread> clients = new ArrayList<>();
    for (Client.Flow flow : flows) {
      Thread client =
          new Thread(
              () -> {
                if (isBroken(fleet, record, flow, prefix + flow.end().port(), start)) {
                  broken.incrementAndGet();
                }
              });
      client.start();
      clients.add(client);
    }
    Thread.sleep(200);
    start.countDown();
    for (Thread client : clients) {
      client.join();
    }
    record.add(broken + " of " + flows.size() + " open flows were reset");
    return broken.get();
  }

  private static boolean isBroken(
      Fleet fleet, Record record, Client.Flow flow, String request, CountDownLatch start) {
    Target before = fleet.holderOf(flow.end());
    Client.Outcome outcome;
    try {
      start.await();
      outcome = flow.request(Target.SLOW_PATH, request, DEADLINE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
    Target after = fleet.holderOf(flow.end());
    boolean broken = outcome == Client.Outcome.RESET && before != null && before == after;
    if (broken) {
      record.add("FLOW broken: port " + flow.end().port() + " was reset, and target " + after.id()
          + " lives and holds the flow");
    }
    return broken;
  }
}
