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
 * Runs a demonstration: clients send load for 20 s, during which a balancer is killed and a target
 * is drained.
 */
final class Demo implements AutoCloseable {
  private static final String CLIENT_ADDRESS = "127.79.9.1";
  private static final int LOAD_S = 20;

  /** Early enough that the router has detected the failure before the target drains. */
  private static final int KILL_AT_S = 4;

  /**
   * Early enough that the load continues for at least another {@link
   * RuleMonitor#PROPAGATION_LIMIT_MS} after that limit has passed, so that late openings are
   * clientListener.
   */
  private static final int DRAIN_AT_S = 8;

  /** The last seconds of the load, in which requests must be served again. */
  private static final int CHECK_S = 5;

  /** Covers the think times of a flow with the most requests and the deadline of one request. */
  private static final int FINISH_S = 8;

  private static final int MS_PER_S = 1_000;

  /** An arbitrary seed; the times at which programs are scheduled differ between runs anyway. */
  private static final long SEED = 1;

  private final RuleMonitor monitor = new RuleMonitor();
  private final DemoClientListener clientListener = new DemoClientListener(monitor);
  private final DemoFleet fleet;
  private final DemoTraffic traffic;
  private final Router router;
  private final FlowClients clients;
  private long servedBeforeCheck;

  /**
   * Creates a demonstration and starts only its store.
   *
   * @throws IOException if an address can't be bound or the folder can't be created
   */
  Demo(Deployment deployment, LaunchCommand command, Path folder) throws IOException {
    Files.createDirectories(folder);
    fleet = new DemoFleet(deployment, command, folder, monitor);
    traffic = new DemoTraffic(deployment.loadedRoutes(), new Random(SEED));
    router = new Router(fleet.balancers());
    clients =
        new FlowClients(List.of(CLIENT_ADDRESS), router, traffic, clientListener, fleet::targetOf);
  }

  /** Starts the fleet, runs the load and prints the table; returns the breaches. */
  List<String> run() throws IOException, InterruptedException, NotReadyException {
    fleet.start();
    System.out.println("all programs are ready, load begins");
    clients.start();
    WatchedTarget drainTarget = fleet.drainTarget();
    for (int second = 1; second <= LOAD_S; second++) {
      String event = triggerEvent(second, drainTarget);
      Thread.sleep(MS_PER_S);
      System.out.println(DemoReport.progress(second, clientListener, monitor, event));
    }
    finishLoad();
    System.out.println(DemoReport.table(clientListener, monitor, fleet.targets(), drainTarget));
    return monitor.breaches();
  }

  private String triggerEvent(int second, WatchedTarget drainTarget) throws InterruptedException {
    if (second == KILL_AT_S) {
      String balancer = fleet.balancers().get(0);
      fleet.kill(balancer);
      return "killed balancer " + balancer;
    }
    if (second == DRAIN_AT_S) {
      fleet.drain(drainTarget);
      return "draining target " + drainTarget.start().id();
    }
    if (second == LOAD_S - CHECK_S + 1) {
      servedBeforeCheck = monitor.servedCount();
    }
    return "";
  }

  private void finishLoad() throws InterruptedException {
    long served = monitor.servedCount() - servedBeforeCheck;
    // Each new flow sends at least one request.
    if (served < CHECK_S * DemoTraffic.FLOWS_PER_S) {
      monitor.recordBreach(Rule.NO_RECOVERY, "served " + served + " in " + CHECK_S + " s");
    }
    fleet.checkProcesses();
    traffic.stop();
    for (int second = 0; second < FINISH_S && clients.hasOpenFlows(); second++) {
      Thread.sleep(MS_PER_S);
    }
  }

  /** Stops everything that was started. */
  @Override
  public void close() throws IOException, InterruptedException {
    clients.close();
    router.close();
    fleet.close();
  }
}
