package io.moorstage.lab.demo;

import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.lab.edge.StoreJson;
import io.moorstage.lab.edge.StoreKeys;
import io.moorstage.lab.monitor.ExpectedRoutes;
import io.moorstage.lab.monitor.Rule;
import io.moorstage.lab.monitor.RuleMonitor;
import io.moorstage.lab.monitor.WatchedTarget;
import io.moorstage.lab.process.LaunchCommand;
import io.moorstage.lab.process.NotReadyException;
import io.moorstage.lab.process.Ports;
import io.moorstage.lab.process.Programs;
import io.moorstage.lab.store.StandInStore;
import io.moorstage.lab.targets.StandInTarget;
import io.moorstage.lab.targets.TargetStart;
import io.moorstage.policy.PolicyTarget;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.annotation.Nullable;

/** A deployment on loopback: a store, a balancer for each zone, the targets and their agents. */
final class DemoFleet implements AutoCloseable {
  private static final String STORE_ADDRESS = "127.79.8.1";
  private static final String BALANCER_NETWORK = "127.79.1.";
  private static final String TARGET_NETWORK = "127.79.2.";

  private final Deployment deployment;
  private final RuleMonitor monitor;
  private final StandInStore store;
  private final List<String> balancers;
  private final Programs programs;
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final List<WatchedTarget> targets = new ArrayList<>();

  /**
   * Creates a fleet and starts only its store.
   *
   * @throws IOException if the store's address can't be bound
   */
  DemoFleet(Deployment deployment, LaunchCommand command, Path folder, RuleMonitor monitor)
      throws IOException {
    this.deployment = deployment;
    this.monitor = monitor;
    this.store = new StandInStore(new InetSocketAddress(STORE_ADDRESS, Ports.STORE));
    this.balancers = addresses(BALANCER_NETWORK, deployment.zones().size());
    this.programs = new Programs(command, folder, STORE_ADDRESS, balancers);
  }

  private static List<String> addresses(String network, int count) {
    List<String> addresses = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      addresses.add(network + i);
    }
    return List.copyOf(addresses);
  }

  /** Starts all targets and programs, and waits until every program is ready. */
  void start() throws IOException, InterruptedException, NotReadyException {
    store.put(StoreKeys.CONFIGURATION, StoreJson.configuration(deployment.configuration()));
    List<String> targetAddresses = addresses(TARGET_NETWORK, deployment.targets().size());
    for (int i = 0; i < targetAddresses.size(); i++) {
      startTargetAndAgent(targetAddresses.get(i), deployment.targets().get(i));
    }
    for (int i = 0; i < balancers.size(); i++) {
      String zone = deployment.zones().get(i);
      processes.put(balancers.get(i), programs.startBalancer(balancers.get(i), zone));
    }
    for (String address : processes.keySet()) {
      Programs.awaitReady(address);
    }
  }

  private void startTargetAndAgent(String address, PolicyTarget target) throws IOException {
    TargetStart start =
        TargetStart.of(target.name(), target.service(), address, target.zone(), target.slotCount());
    targets.add(new WatchedTarget(start, monitor, new FixedRoutes(deployment)));
    store.put(StoreKeys.target(start.id()), start.entry());
    processes.put(address, programs.startAgent(address, target.zone(), target.service()));
  }

  List<String> balancers() {
    return balancers;
  }

  List<WatchedTarget> targets() {
    return targets;
  }

  /** Returns the target that is drained during the demonstration. */
  WatchedTarget drainTarget() {
    return targets.get(deployment.targets().indexOf(deployment.drainTarget()));
  }

  /** Returns the target that accepts flows with a sequence number; null if there is none. */
  @Nullable
  StandInTarget targetOf(int sequence) {
    for (WatchedTarget target : targets) {
      if (target.start().sequence() == sequence) {
        return target.target();
      }
    }
    return null;
  }

  /** Kills a balancer, which is not restarted. */
  void kill(String balancer) throws InterruptedException {
    monitor.recordFault(System.currentTimeMillis());
    processes.remove(balancer).destroyForcibly().waitFor();
  }

  /** Marks a target as draining in the store. */
  void drain(WatchedTarget target) {
    target.setNoNewFlowsSince(System.currentTimeMillis());
    store.put(StoreKeys.target(target.start().id()), target.start().laterEntry(true));
  }

  /** Records a breach for each program that has ended although it was not stopped. */
  void checkProcesses() {
    for (Map.Entry<String, Process> entry : processes.entrySet()) {
      if (!entry.getValue().isAlive()) {
        monitor.recordBreach(Rule.ENDED_BY_ITSELF, entry.getKey());
      }
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    programs.close();
    for (WatchedTarget target : targets) {
      target.close();
    }
    store.close();
  }

  /** The routes of the deployment, which do not change. */
  private record FixedRoutes(Deployment deployment) implements ExpectedRoutes {
    @Override
    public boolean mayReceiveFlows(int address, String service) {
      for (ForwardingRoute route : deployment.configuration().routes()) {
        if (route.address() == address && route.hasService(service)) {
          return true;
        }
      }
      return false;
    }

    @Override
    public long removedSinceMs(int address, String service) {
      return Long.MAX_VALUE;
    }
  }
}
