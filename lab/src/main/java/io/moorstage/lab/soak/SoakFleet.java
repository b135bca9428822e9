package io.moorstage.lab.soak;

import io.moorstage.lab.edge.StoreJson;
import io.moorstage.lab.edge.StoreKeys;
import io.moorstage.lab.monitor.LoadMonitor;
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
import io.moorstage.lab.targets.TargetWork;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import javax.annotation.Nullable;

/**
 * The fleet of a soak: a store, three balancers, and six targets with an agent each, in two zones.
 * Thread-safe.
 */
final class SoakFleet implements AutoCloseable {
  static final List<String> BALANCERS = List.of("127.78.1.1", "127.78.1.2", "127.78.1.3");
  static final List<String> ZONES = List.of("lac", "ariana");
  private static final String STORE_ADDRESS = "127.78.8.1";
  private static final String TARGET_NETWORK = "127.78.2.";
  private static final int TARGETS = 6;
  private static final int TARGETS_OF_TABLES = 4;

  /**
   * With starved balancers there are so many times as many targets, since a search among few of
   * them ends after one round of queries.
   */
  private static final int FACTOR_OF_STARVED = 2;

  private static final int TARGET_SLOTS = 4;

  /** The slots of a target whose requests take time; a few, so that a burst fills them. */
  private static final int LOADED_SLOTS = 2;

  /** About what a target of the platform queues. */
  private static final int QUEUE_LENGTH = 5;

  /**
   * With {@link #SPEEDS}, four targets serve 109 requests a second and two serve 69. Steady traffic
   * is about half of that, so that the targets left can serve it when one is slow.
   */
  private static final int MEAN_WORK_MS = 70;

  /** Speeds of the targets in turn, from the uneven-targets workload. */
  private static final double[] SPEEDS = {0.7, 0.7, 1.7};

  private final RuleMonitor monitor;
  private final SoakRoutes routes;
  private final SoakOptions options;
  private final boolean keepsIds;
  @Nullable private final LoadMonitor load;
  private final StandInStore store;
  private final Programs programs;
  private final Map<String, Process> processes = new HashMap<>();
  private final Map<Integer, StandInTarget> targetsBySequence = new HashMap<>();
  private final List<WatchedTarget> targets = new ArrayList<>();
  private final List<String> evacuated = new ArrayList<>();
  private final Set<TargetStart> draining = new HashSet<>();
  private int startCount;

  /**
   * Creates a fleet and starts only its store.
   *
   * @param options with store restores, a restarted target keeps its id and lists its start time
   * @throws IOException if the store's address can't be bound
   */
  SoakFleet(
      LaunchCommand command,
      Path folder,
      RuleMonitor monitor,
      SoakRoutes routes,
      SoakOptions options)
      throws IOException {
    this.options = options;
    this.keepsIds = options.storeRestores();
    this.load =
        options.load() ? new LoadMonitor(monitor, SoakRoutes::kindOf, this::currentTargets) : null;
    this.monitor = monitor;
    this.routes = routes;
    this.store = new StandInStore(new InetSocketAddress(STORE_ADDRESS, Ports.STORE));
    List<String> settings = options.load() ? List.of("overload.control: on") : List.of();
    this.programs = new Programs(command, folder, STORE_ADDRESS, BALANCERS, settings);
  }

  /** Starts all targets and programs, and waits until the balancers are ready. */
  void start() throws IOException, InterruptedException, NotReadyException {
    store.put(StoreKeys.CONFIGURATION, routes.configuration());
    int factor = options.starved() ? FACTOR_OF_STARVED : 1;
    for (int i = 0; i < factor * TARGETS; i++) {
      String service = i < factor * TARGETS_OF_TABLES ? "tables" : "bundles";
      String address = TARGET_NETWORK + (i + 1);
      startTarget(service, address, ZONES.get(i % ZONES.size()));
      startProgram(address);
    }
    for (String balancer : BALANCERS) {
      startProgram(balancer);
    }
    for (String balancer : BALANCERS) {
      Programs.awaitReady(balancer);
    }
  }

  StandInStore store() {
    return store;
  }

  /**
   * Returns the target, running or ended, that accepts flows with a sequence number; null if there
   * is none.
   */
  @Nullable
  synchronized StandInTarget targetOf(int sequence) {
    return targetsBySequence.get(sequence);
  }

  /** Starts a target at an address and writes its entry to the store. */
  synchronized void startTarget(String service, String address, String zone) throws IOException {
    TargetStart start = nextStart(service, address, zone);
    WatchedTarget target = new WatchedTarget(start, monitor, routes, workAt(address), load);
    targetsBySequence.put(start.sequence(), target.target());
    targets.removeIf(previous -> previous.start().address().equals(address));
    targets.add(target);
    if (evacuated.contains(zone)) {
      target.setNoNewFlowsSince(System.currentTimeMillis());
    }
    store.put(StoreKeys.target(start.id()), start.entry());
  }

  @Nullable
  private TargetWork workAt(String address) {
    if (!options.load()) {
      return null;
    }
    int index = Integer.parseInt(address.substring(TARGET_NETWORK.length()));
    return new TargetWork(LOADED_SLOTS, QUEUE_LENGTH, MEAN_WORK_MS / SPEEDS[index % SPEEDS.length]);
  }

  private synchronized List<WatchedTarget> currentTargets() {
    return List.copyOf(targets);
  }

  /** Returns the monitor of the load, if there is one. */
  Optional<LoadMonitor> loadMonitor() {
    return Optional.ofNullable(load);
  }

  private TargetStart nextStart(String service, String address, String zone) {
    int slots = options.load() ? LOADED_SLOTS : TARGET_SLOTS;
    if (!keepsIds) {
      return TargetStart.of("t" + startCount++, service, address, zone, slots);
    }
    String id = "t-" + address;
    return TargetStart.of(id, service, address, zone, slots).at(System.currentTimeMillis());
  }

  /** Marks a target as draining in the store. */
  synchronized void drain(WatchedTarget target) {
    target.setNoNewFlowsSince(System.currentTimeMillis());
    draining.add(target.start());
    store.put(StoreKeys.target(target.start().id()), target.start().laterEntry(true));
  }

  /** Removes the entry of an ended target, unless its replacement has overwritten the entry. */
  synchronized void removeEntry(WatchedTarget target) {
    String id = target.start().id();
    boolean isReplaced = keepsIds && !targetAt(target.start().address()).equals(target);
    if (!isReplaced) {
      store.remove(StoreKeys.target(id));
    }
  }

  /**
   * Writes the current configuration, evacuations and entries of running targets again, and removes
   * the entries of ended targets, because a restored copy of the store may be out of date.
   */
  synchronized void rewriteEntries() {
    store.put(StoreKeys.CONFIGURATION, routes.configuration());
    Set<String> liveKeys = new HashSet<>();
    for (WatchedTarget target : targets) {
      if (target.isAlive()) {
        TargetStart start = target.start();
        liveKeys.add(StoreKeys.target(start.id()));
        store.put(StoreKeys.target(start.id()), start.laterEntry(draining.contains(start)));
      }
    }
    for (String zone : ZONES) {
      if (evacuated.contains(zone)) {
        store.put(StoreKeys.evacuation(zone), StoreJson.empty());
      } else {
        store.remove(StoreKeys.evacuation(zone));
      }
    }
    for (String key : store.keys()) {
      if (StoreKeys.isTarget(key) && !liveKeys.contains(key)) {
        store.remove(key);
      }
    }
  }

  /** Starts a new target at the address of an ended one. */
  void startReplacement(WatchedTarget target) throws IOException {
    TargetStart ended = target.start();
    startTarget(ended.service(), ended.address(), ended.zone());
  }

  /** Starts the balancer or the agent at an address. */
  void startProgram(String address) throws IOException {
    int balancer = BALANCERS.indexOf(address);
    if (balancer >= 0) {
      putProcess(address, programs.startBalancer(address, ZONES.get(balancer % ZONES.size())));
    } else {
      TargetStart start = targetAt(address).start();
      putProcess(address, programs.startAgent(address, start.zone(), start.service()));
    }
  }

  private synchronized void putProcess(String address, Process process) {
    processes.put(address, process);
  }

  synchronized Process processAt(String address) {
    return processes.get(address);
  }

  synchronized WatchedTarget targetAt(String address) {
    for (WatchedTarget target : targets) {
      if (target.start().address().equals(address)) {
        return target;
      }
    }
    throw new IllegalStateException("no target at " + address);
  }

  /** Returns the addresses of the targets in the order of their starts. */
  synchronized List<String> targetAddresses() {
    List<String> addresses = new ArrayList<>();
    for (WatchedTarget target : targets) {
      addresses.add(target.start().address());
    }
    return addresses;
  }

  synchronized boolean isEvacuated(String zone) {
    return evacuated.contains(zone);
  }

  /** Evacuates a zone, or lifts its evacuation. */
  synchronized void toggleEvacuation(String zone) {
    boolean lifts = evacuated.remove(zone);
    if (!lifts) {
      evacuated.add(zone);
    }
    long sinceMs = lifts ? Long.MAX_VALUE : System.currentTimeMillis();
    for (WatchedTarget target : targets) {
      if (target.start().zone().equals(zone)) {
        target.setNoNewFlowsSince(sinceMs);
      }
    }
    if (lifts) {
      store.remove(StoreKeys.evacuation(zone));
    } else {
      store.put(StoreKeys.evacuation(zone), StoreJson.empty());
    }
  }

  /** Records a breach for each process that has ended and has not been restarted. */
  synchronized void checkProcesses() {
    for (Map.Entry<String, Process> entry : processes.entrySet()) {
      if (!entry.getValue().isAlive()) {
        monitor.recordBreach(Rule.ENDED_BY_ITSELF, entry.getKey());
      }
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    programs.close();
    synchronized (this) {
      for (WatchedTarget target : targets) {
        target.close();
      }
    }
    store.close();
  }
}
