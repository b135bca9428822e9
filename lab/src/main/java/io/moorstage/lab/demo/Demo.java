package io.moorstage.lab.demo;

import io.moorstage.lab.client.FlowClients;
import io.moorstage.lab.monitor.Rule;
import io.moorstage.lab.monitor.RuleMonitor;
import io.moorstage.lab.monitor.WatchedTarget;
import io.moorstage.lab.process.LaunchCommand;
import io.moorstage.lab.process.NotReadyException;
import io.moorstage.lab.router.Router;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;

/**
 * The course of a demonstration: load for 20 s, during which a balancer is killed and a target
 * drained.
 */
final class Demo implements AutoCloseable {
  private static final String CLIENTS = "127.79.9.1";
  private static final int LOAD_S = 20;

  /** Early enough that routers have noticed it before the target drains. */
  private static final int KILL_AT_S = 4;

  /** Leaves as long after the time in which it must be known everywhere as that takes. */
  private static final int DRAIN_AT_S = 8;

  /** The last seconds of the load, in which all must be served again. */
  private static final int CHECK_S = 5;

  /** The rests of a flow of many requests, and a deadline. */
  private static final int FINISH_S = 8;

  private static final int MS_PER_S = 1_000;

  /** Any will do; the moments at which programs act are the machine's. */
  private static final long SEED = 1;

  private final RuleMonitor monitor = new RuleMonitor();
  private final DemoClientListener seen = new DemoClientListener(monitor);
  private final DemoFleet fleet;
  private final DemoTraffic traffic;
  private final Router router;
  private final FlowClients clients;
  private long servedBeforeCheck;

  /**
   * Starts the store and nothing else.
   *
   * @throws IOException if an address can't be bound, or the folder not be made
   */
  Demo(Deployment deployment, LaunchCommand command, Path folder) throws IOException {
    Files.createDirectories(folder);
    fleet = new DemoFleet(deployment, command, folder, monitor);
    traffic = new DemoTraffic(deployment.loadedRoutes(), new Random(SEED));
    router = new Router(fleet.balancers());
    clients = new FlowClients(CLIENTS, router, traffic, seen, fleet::targetOf);
  }

  /** Runs from the first start to the table; returns what was broken. */
  List<String> run() throws IOException, InterruptedException, NotReadyException {
    fleet.start();
    System.out.println("all programs are ready, load begins");
    clients.start();
    WatchedTarget leaving = fleet.leaving();
    for (int second = 1; second <= LOAD_S; second++) {
      String event = act(second, leaving);
      Thread.sleep(MS_PER_S);
      System.out.println(DemoReport.progress(second, seen, monitor, event));
    }
    finish();
    System.out.println(DemoReport.table(seen, monitor, fleet.targets(), leaving));
    return monitor.breaches();
  }

  private String act(int second, WatchedTarget leaving) throws InterruptedException {
    if (second == KILL_AT_S) {
      String balancer = fleet.balancers().get(0);
      fleet.kill(balancer);
      return "killed balancer " + balancer;
    }
    if (second == DRAIN_AT_S) {
      fleet.drain(leaving);
      return "draining target " + leaving.start().id();
    }
    if (second == LOAD_S - CHECK_S + 1) {
      servedBeforeCheck = monitor.servedCount();
    }
    return "";
  }

  private void finish() throws InterruptedException {
    long served = monitor.servedCount() - servedBeforeCheck;
    // Each new flow asks at least once.
    if (served < CHECK_S * DemoTraffic.FLOWS_PER_S) {
      monitor.recordBreach(Rule.NO_RECOVERY, "served " + served + " in " + CHECK_S + " s");
    }
    fleet.checkProcesses();
    traffic.stop();
    for (int second = 0; second < FINISH_S && clients.hasOpenFlows(); second++) {
      Thread.sleep(MS_PER_S);
    }
  }

  /** Ends all that was started. */
  @Override
  public void close() throws IOException, InterruptedException {
    clients.close();
    router.close();
    fleet.close();
  }
}
