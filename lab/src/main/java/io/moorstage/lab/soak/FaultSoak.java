package io.moorstage.lab.soak;

import io.moorstage.lab.client.ClientListener;
import io.moorstage.lab.client.FlowClients;
import io.moorstage.lab.client.Traffic;
import io.moorstage.lab.edge.Readiness;
import io.moorstage.lab.edge.StoreKeys;
import io.moorstage.lab.monitor.LoadClientListener;
import io.moorstage.lab.monitor.LoadMonitor;
import io.moorstage.lab.monitor.MonitoringClientListener;
import io.moorstage.lab.monitor.Rule;
import io.moorstage.lab.monitor.RuleMonitor;
import io.moorstage.lab.monitor.WatchedTarget;
import io.moorstage.lab.process.LaunchCommand;
import io.moorstage.lab.process.NotReadyException;
import io.moorstage.lab.process.Ports;
import io.moorstage.lab.process.Programs;
import io.moorstage.lab.process.Throttle;
import io.moorstage.lab.router.Router;
import io.moorstage.lab.store.StoreCopy;
import io.moorstage.lab.store.StoreMode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import javax.annotation.Nullable;

/**
 * A soak test: runs three balancers and six agents as processes and injects faults at random times.
 * The seed determines the order and kinds of the faults, but not the times at which the processes
 * are scheduled, so that a run cannot be reproduced exactly.
 */
public final class FaultSoak implements AutoCloseable {
  private static final String CLIENT_NETWORK = "127.78.9.";

  /** Overload control orders requests by their client's address. */
  private static final int LOAD_CLIENTS = 8;

  /** One in so many faults of a soak with load also makes a target slow. */
  private static final int ONE_IN_SLOW = 4;

  private static final int MIN_SLOW_MS = 2_000;
  private static final int SLOW_RANGE_MS = 3_000;

  /** The number of faults between two bursts without faults, half a minute. */
  private static final int FAULTS_PER_CALM = 25;

  /** Covers the longest burst, and the retries of the requests that it rejects. */
  private static final int CALM_BURST_MS = 8_000;

  /** Mean time between faults; shorter than a restart of a process, so that faults overlap. */
  private static final int MEAN_FAULT_INTERVAL_MS = 1_200;

  /** Upper bound of the delay before the recovery from a fault, drawn at random for each fault. */
  private static final int MAX_RECOVERY_DELAY_MS = 1_500;

  /** One in so many restarted agents is starved; restarted balancers always are. */
  private static final int ONE_IN_STARVED_AGENTS = 3;

  /** One in so many faults of a starved soak also ends a balancer. */
  private static final int ONE_IN_BALANCER_ENDS = 3;

  /** One in so many of these balancers is killed, the others are told to stop. */
  private static final int ONE_IN_KILLS = 3;

  private static final int MIN_STARVED_MS = 5_000;
  private static final int STARVED_RANGE_MS = 5_000;
  private static final int MIN_SLICE_MS = 1;
  private static final int SLICE_RANGE_MS = 3;

  /** The longest wait for a restarted process, which starves only once it is in use. */
  private static final int MAX_START_MS = 2_000;

  private static final int POLL_MS = 20;

  /** The number of cases in {@code inject}. */
  private static final int FAULT_KINDS = 11;

  private static final int MIN_PAUSE_MS = 300;
  private static final int MIN_STORE_OUTAGE_MS = 1_000;

  /** An entry expires after two missed heartbeats; the platform's interval is 1.1 s. */
  private static final int ENTRY_EXPIRY_MS = 2_300;

  /** The operator and the targets write their entries again within this time of a store restore. */
  private static final int MAX_REWRITE_DELAY_MS = 2_000;

  /** The number of faults between a copy of the store and its restore, about four seconds. */
  private static final int FAULTS_PER_COPY = 3;

  private static final int MIN_TARGET_START_MS = 500;

  /** Longer than the propagation limit, after which a draining target must get no new flows. */
  private static final int DRAIN_MS = 6_000;

  /** Longer than the largest delay of a recovery step. */
  private static final int SETTLE_MS = 8_000;

  private static final int CHECK_MS = 5_000;
  private static final int MS_PER_S = 1_000;

  private final Path folder;
  private final Random random;
  private final RuleMonitor monitor = new RuleMonitor();
  private final SoakRoutes routes;
  private final FaultSchedule faults;
  private final SoakFleet fleet;
  private final Router router;
  private final FlowClients clients;
  private final boolean storeRestores;
  private final Random loadRandom;
  @Nullable private final LoadTraffic loadTraffic;
  private final boolean starves;
  private final Random starvedRandom;
  private volatile boolean faultsHaveEnded;
  private StoreCopy copy;

  /** Addresses whose process was signalled to end and has not been restarted yet. */
  private final Set<String> restarting = ConcurrentHashMap.newKeySet();

  /**
   * Creates a soak and starts only its store.
   *
   * @param seed determines the order and kinds of faults
   * @param options the faults in addition to those of every soak
   * @param command how programs are started
   * @param folder receives the settings, the logs, the list of faults and the breaches
   * @throws IOException if an address can't be bound or the folder can't be created
   */
  public FaultSoak(long seed, SoakOptions options, LaunchCommand command, Path folder)
      throws IOException {
    this.routes = new SoakRoutes(options.routeMoves(), options.load());
    this.storeRestores = options.storeRestores();
    this.folder = Files.createDirectories(folder);
    this.random = new Random(seed);
    this.faults = new FaultSchedule(folder.resolve("faults.log"), monitor);
    this.fleet = new SoakFleet(command, this.folder, monitor, routes, options);
    this.copy = fleet.store().copy();
    this.router = new Router(SoakFleet.BALANCERS);
    this.loadRandom = new Random(seed + 2);
    this.starves = options.starved();
    this.starvedRandom = new Random(seed + 4);
    Traffic steady = new SoakTraffic(routes, new Random(seed + 1));
    if (starves) {
      steady = new RestingTraffic(steady, new Random(seed + 5));
    }
    this.loadTraffic = options.load() ? new LoadTraffic(steady, new Random(seed + 3)) : null;
    this.clients =
        new FlowClients(
            clientAddresses(options.load() ? LOAD_CLIENTS : 1),
            router,
            loadTraffic == null ? steady : loadTraffic,
            fleet
                .loadMonitor()
                .<ClientListener>map(load -> new LoadClientListener(monitor, load))
                .orElseGet(() -> new MonitoringClientListener(monitor)),
            fleet::targetOf);
  }

  private static List<String> clientAddresses(int count) {
    List<String> addresses = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      addresses.add(CLIENT_NETWORK + i);
    }
    return addresses;
  }

  /**
   * Starts the fleet and its clients.
   *
   * @throws NotReadyException if a balancer does not become ready
   */
  public void start() throws IOException, InterruptedException, NotReadyException {
    fleet.start();
    clients.start();
  }

  /** Injects faults for some time, ends them all, and checks that requests are served again. */
  public void run(int durationMs) throws IOException, InterruptedException {
    long end = System.currentTimeMillis() + durationMs;
    boolean moveIsDue = false;
    int faultsSinceCopy = 0;
    int faultsSinceCalm = 0;
    while (System.currentTimeMillis() < end) {
      Thread.sleep(MEAN_FAULT_INTERVAL_MS / 2 + random.nextInt(MEAN_FAULT_INTERVAL_MS));
      inject();
      if (starves && starvedRandom.nextInt(ONE_IN_BALANCER_ENDS) == 0) {
        String signal = starvedRandom.nextInt(ONE_IN_KILLS) == 0 ? "KILL" : "TERM";
        int index = starvedRandom.nextInt(SoakFleet.BALANCERS.size());
        int delayMs = starvedRandom.nextInt(MAX_RECOVERY_DELAY_MS);
        endAndRestart(SoakFleet.BALANCERS.get(index), signal, delayMs);
      }
      if (moveIsDue && routes.hasMoving()) {
        faults.runNow("move", () -> fleet.store().put(StoreKeys.CONFIGURATION, routes.moveRoute()));
      }
      moveIsDue = !moveIsDue;
      if (storeRestores && ++faultsSinceCopy == FAULTS_PER_COPY) {
        restoreStore();
        faultsSinceCopy = 0;
      }
      if (loadTraffic != null) {
        slowDownSometimes();
        if (++faultsSinceCalm == FAULTS_PER_CALM) {
          liftEvacuations();
          Thread.sleep(settleMs() + RuleMonitor.PROPAGATION_LIMIT_MS);
          overloadWithoutFaults();
          faultsSinceCalm = 0;
        }
      }
    }
    if (storeRestores) {
      // No fault follows, so that the monitor checks this restore and drain against their limits.
      restoreStore();
      Thread.sleep(MIN_PAUSE_MS);
      WatchedTarget drained = fleet.targetAt(randomElement(fleet.targetAddresses()));
      faults.runNow("drain permanently " + drained.start().id(), () -> fleet.drain(drained));
    }
    faultsHaveEnded = true;
    Thread.sleep(settleMs());
    fleet.store().setMode(StoreMode.SERVING);
    liftEvacuations();
    Thread.sleep(SETTLE_MS);
    if (loadTraffic != null) {
      overloadWithoutFaults();
    }
    long servedBefore = monitor.servedCount();
    Thread.sleep(CHECK_MS);
    long served = monitor.servedCount() - servedBefore;
    // Requires one served request per new flow; flows have about three requests on average.
    if (served < CHECK_MS / MS_PER_S * SoakTraffic.FLOWS_PER_S) {
      monitor.recordBreach(Rule.NO_RECOVERY, "served " + served + " in " + CHECK_MS + " ms");
    }
    fleet.checkProcesses();
    fleet.loadMonitor().ifPresent(LoadMonitor::checkAll);
  }

  private int settleMs() {
    return starves ? SETTLE_MS + MIN_STARVED_MS + STARVED_RANGE_MS : SETTLE_MS;
  }

  private void liftEvacuations() throws IOException, InterruptedException {
    for (String zone : SoakFleet.ZONES) {
      if (fleet.isEvacuated(zone)) {
        toggleEvacuation(zone);
      }
    }
  }

  /** Runs a burst of load that no fault excuses, in the middle of which a target becomes slow. */
  private void overloadWithoutFaults() throws IOException, InterruptedException {
    faults.runNow("burst without faults", () -> loadTraffic.startBurst(System.currentTimeMillis()));
    Thread.sleep(CALM_BURST_MS / 2);
    slowDown();
    Thread.sleep(CALM_BURST_MS / 2);
  }

  private void slowDownSometimes() throws IOException, InterruptedException {
    if (loadRandom.nextInt(ONE_IN_SLOW) == 0) {
      slowDown();
    }
  }

  private void slowDown() throws IOException, InterruptedException {
    List<String> addresses = fleet.targetAddresses();
    String address = addresses.get(loadRandom.nextInt(addresses.size()));
    int durationMs = MIN_SLOW_MS + loadRandom.nextInt(SLOW_RANGE_MS);
    WatchedTarget target = fleet.targetAt(address);
    String description = "slow " + target.start().id() + " for " + durationMs + " ms";
    long untilMs = System.currentTimeMillis() + durationMs;
    faults.runNow(description, () -> target.target().slowDownUntil(untilMs));
  }

  private void inject() throws IOException, InterruptedException {
    String balancer = randomElement(SoakFleet.BALANCERS);
    String targetAddress = randomElement(fleet.targetAddresses());
    int delayMs = random.nextInt(MAX_RECOVERY_DELAY_MS);
    switch (random.nextInt(FAULT_KINDS)) {
      case 0 -> endAndRestart(balancer, "KILL", delayMs);
      case 1 -> endAndRestart(balancer, "TERM", delayMs);
      case 2 -> pause(random.nextBoolean() ? balancer : targetAddress, MIN_PAUSE_MS + delayMs);
      case 3 -> endAndRestart(targetAddress, "KILL", delayMs);
      case 4 -> endAndRestart(targetAddress, "TERM", delayMs);
      case 5 -> disruptStore(MIN_STORE_OUTAGE_MS + delayMs);
      case 6 -> faults.runNow("compact", fleet.store()::compact);
      case 7 -> crash(targetAddress, delayMs);
      case 8 -> drain(targetAddress);
      case 9 -> toggleEvacuation(zoneToToggle(randomElement(SoakFleet.ZONES)));
      default -> faults.runNow("configuration", this::toggleIntermittentRoute);
    }
  }

  // Without a zone for new flows, a starved soak would soon have no open flows.
  private String zoneToToggle(String zone) {
    if (starves) {
      for (String evacuated : SoakFleet.ZONES) {
        if (fleet.isEvacuated(evacuated)) {
          return evacuated;
        }
      }
    }
    return zone;
  }

  private String randomElement(List<String> elements) {
    return elements.get(random.nextInt(elements.size()));
  }

  private void toggleIntermittentRoute() {
    fleet.store().put(StoreKeys.CONFIGURATION, routes.toggleIntermittentRoute());
  }

  private void endAndRestart(String address, String signal, int delayMs)
      throws IOException, InterruptedException {
    Process process = fleet.processAt(address);
    if (!restarting.add(address)) {
      return;
    }
    recordMachineFault(address, System.currentTimeMillis());
    faults.runNow(signal + " " + address, () -> Programs.signal(process, signal));
    boolean isBalancer = SoakFleet.BALANCERS.contains(address);
    boolean starved = starves && (isBalancer || starvedRandom.nextInt(ONE_IN_STARVED_AGENTS) == 0);
    int sliceMs = MIN_SLICE_MS + starvedRandom.nextInt(SLICE_RANGE_MS);
    int starvedMs = MIN_STARVED_MS + starvedRandom.nextInt(STARVED_RANGE_MS);
    faults.runLater(
        delayMs,
        "start " + address,
        () -> {
          process.waitFor();
          fleet.startProgram(address);
          recordMachineFault(address, System.currentTimeMillis());
          restarting.remove(address);
          if (starved && !faultsHaveEnded) {
            starve(address, sliceMs, starvedMs);
          }
        });
  }

  private void recordMachineFault(String address, long untilMs) {
    monitor.recordFault(untilMs);
    monitor.recordMachineFault(address, untilMs);
  }

  private void starve(String address, int sliceMs, int durationMs)
      throws IOException, InterruptedException {
    Process process = fleet.processAt(address);
    long startByMs = System.currentTimeMillis() + MAX_START_MS;
    while (System.currentTimeMillis() < startByMs && !Readiness.isReady(address, Ports.READY)) {
      Thread.sleep(POLL_MS);
    }
    recordMachineFault(address, System.currentTimeMillis() + durationMs);
    String share = sliceMs + " of " + Throttle.PERIOD_MS + " ms for " + durationMs + " ms";
    faults.runNow(
        "starve " + address + ", " + share, () -> Throttle.run(process, sliceMs, durationMs));
    faults.runNow("end starve " + address, () -> {});
  }

  private void pause(String address, int durationMs) throws IOException, InterruptedException {
    Process process = fleet.processAt(address);
    recordMachineFault(address, System.currentTimeMillis() + durationMs);
    faults.runNow("STOP " + address, () -> Programs.signal(process, "STOP"));
    faults.runLater(durationMs, "CONT " + address, () -> Programs.signal(process, "CONT"));
  }

  private void disruptStore(int durationMs) throws IOException, InterruptedException {
    StoreMode[] modes = {StoreMode.BUSY, StoreMode.SILENT, StoreMode.SLOW};
    StoreMode mode = modes[random.nextInt(modes.length)];
    monitor.recordFault(System.currentTimeMillis() + durationMs);
    faults.runNow("store " + mode, () -> fleet.store().setMode(mode));
    faults.runLater(durationMs, "store serves", () -> fleet.store().setMode(StoreMode.SERVING));
  }

  private void restoreStore() throws IOException, InterruptedException {
    int downMs = MIN_STORE_OUTAGE_MS + random.nextInt(MAX_RECOVERY_DELAY_MS);
    monitor.recordFault(System.currentTimeMillis() + downMs);
    faults.runNow(
        "store down, will be restored from a copy", () -> fleet.store().setMode(StoreMode.BUSY));
    Thread.sleep(downMs);
    fleet.store().restore(copy);
    faults.runNow("store restored", () -> fleet.store().setMode(StoreMode.SERVING));
    Thread.sleep(random.nextInt(MAX_REWRITE_DELAY_MS));
    faults.runNow("entries rewritten", fleet::rewriteEntries);
    copy = fleet.store().copy();
  }

  private void crash(String address, int delayMs) throws IOException, InterruptedException {
    WatchedTarget target = fleet.targetAt(address);
    if (!target.isAlive()) {
      return;
    }
    String id = target.start().id();
    monitor.recordFault(System.currentTimeMillis());
    faults.runNow("crash " + id, target::close);
    faults.runLater(ENTRY_EXPIRY_MS, "expire entry of " + id, () -> fleet.removeEntry(target));
    faults.runLater(
        MIN_TARGET_START_MS + delayMs,
        "new target at " + address,
        () -> fleet.startReplacement(target));
  }

  private void drain(String address) throws IOException, InterruptedException {
    WatchedTarget target = fleet.targetAt(address);
    if (!target.isAlive()) {
      return;
    }
    String id = target.start().id();
    faults.runNow("drain " + id, () -> fleet.drain(target));
    faults.runLater(DRAIN_MS, "end " + id, () -> endDrained(target));
  }

  private void endDrained(WatchedTarget target) throws IOException {
    fleet.removeEntry(target);
    if (target.isAlive()) {
      target.close();
      fleet.startReplacement(target);
    }
  }

  private void toggleEvacuation(String zone) throws IOException, InterruptedException {
    String action = fleet.isEvacuated(zone) ? "lift " : "evacuate ";
    faults.runNow(action + zone, () -> fleet.toggleEvacuation(zone));
  }

  /** Returns the breaches so far. */
  public List<String> breaches() {
    return monitor.breaches();
  }

  /** Returns the numbers of served requests, failed flows and recorded faults in one line. */
  public String summary() {
    return monitor.summary() + fleet.loadMonitor().map(load -> " " + load.summary()).orElse("");
  }

  /** Stops everything that was started, and writes the breaches to {@code breaches.log}. */
  @Override
  public void close() throws IOException, InterruptedException {
    clients.close();
    router.close();
    faults.close();
    fleet.close();
    Files.write(folder.resolve("breaches.log"), monitor.breaches());
  }
}
