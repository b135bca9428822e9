package io.moorstage.lab.soak;

import io.moorstage.lab.client.FlowClients;
import io.moorstage.lab.edge.StoreKeys;
import io.moorstage.lab.monitor.MonitoringClientListener;
import io.moorstage.lab.monitor.Rule;
import io.moorstage.lab.monitor.RuleMonitor;
import io.moorstage.lab.monitor.WatchedTarget;
import io.moorstage.lab.process.LaunchCommand;
import io.moorstage.lab.process.NotReadyException;
import io.moorstage.lab.process.Programs;
import io.moorstage.lab.router.Router;
import io.moorstage.lab.store.StoreCopy;
import io.moorstage.lab.store.StoreMode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A soak: three balancers and six agents as processes, with faults from outside at random moments.
 * A seed gives the order and kinds of the faults; the moments at which processes act are the
 * machine's.
 */
public final class FaultSoak implements AutoCloseable {
  private static final String CLIENTS = "127.78.9.1";

  /** In the mean; shorter than a restart, so that faults overlap. */
  private static final int FAULT_EVERY_MS = 1_200;

  /** The longest delay of what heals a fault, drawn for each. */
  private static final int HEALS_WITHIN_MS = 1_500;

  /** As many as {@code inject} knows. */
  private static final int FAULT_KINDS = 11;

  private static final int MIN_PAUSE_MS = 300;
  private static final int MIN_STORE_TROUBLE_MS = 1_000;

  /** Two heartbeats of the platform's 1.1 s in silence. */
  private static final int ENTRY_LAPSES_MS = 2_300;

  /** The operator and the targets have written again within two seconds of the store's return. */
  private static final int WRITTEN_AGAIN_WITHIN_MS = 2_000;

  /** A copy is as old as this many faults, some four seconds. */
  private static final int FAULTS_A_COPY = 3;

  private static final int MIN_TARGET_START_MS = 500;

  /** Longer than the time in which a leaving target must get no more flows. */
  private static final int DRAIN_MS = 6_000;

  /** Longer than the last healing step is delayed. */
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
  private StoreCopy copy;

  /** Addresses whose process has been told to end and is not started again yet. */
  private final Set<String> restarting = ConcurrentHashMap.newKeySet();

  /**
   * Creates a soak; nothing but its store has started.
   *
   * @param seed decides the order and kinds of faults
   * @param options what happens beside the faults that all soaks have
   * @param command how programs are started
   * @param folder takes settings, logs, the faults and what was broken
   * @throws IOException if an address can't be bound or the folder not be made
   */
  public FaultSoak(long seed, SoakOptions options, LaunchCommand command, Path folder)
      throws IOException {
    this.routes = new SoakRoutes(options.routeMoves());
    this.storeRestores = options.storeRestores();
    this.folder = Files.createDirectories(folder);
    this.random = new Random(seed);
    this.faults = new FaultSchedule(folder.resolve("faults.log"), monitor);
    this.fleet = new SoakFleet(command, this.folder, monitor, routes, storeRestores);
    this.copy = fleet.store().copy();
    this.router = new Router(SoakFleet.BALANCERS);
    this.clients =
        new FlowClients(
            CLIENTS,
            router,
            new SoakTraffic(routes, new Random(seed + 1)),
            new MonitoringClientListener(monitor),
            fleet::targetOf);
  }

  /**
   * Starts the fleet and its clients.
   *
   * @throws NotReadyException if a balancer does not come up
   */
  public void start() throws IOException, InterruptedException, NotReadyException {
    fleet.start();
    clients.start();
  }

  /** Runs for some time under faults, heals all, and checks that everything is served again. */
  public void run(int durationMs) throws IOException, InterruptedException {
    long end = System.currentTimeMillis() + durationMs;
    boolean moves = false;
    int faultsOfCopy = 0;
    while (System.currentTimeMillis() < end) {
      Thread.sleep(FAULT_EVERY_MS / 2 + random.nextInt(FAULT_EVERY_MS));
      inject();
      if (moves && routes.hasMoving()) {
        faults.note("move", () -> fleet.store().put(StoreKeys.CONFIGURATION, routes.move()));
      }
      moves = !moves;
      if (storeRestores && ++faultsOfCopy == FAULTS_A_COPY) {
        restoreStore();
        faultsOfCopy = 0;
      }
    }
    if (storeRestores) {
      // Judged while no fault excuses it.
      restoreStore();
      Thread.sleep(MIN_PAUSE_MS);
      WatchedTarget last = fleet.targetAt(oneOf(fleet.sides()));
      faults.note("drain for good " + last.start().id(), () -> fleet.drain(last));
    }
    Thread.sleep(SETTLE_MS);
    fleet.store().setMode(StoreMode.SERVING);
    for (String zone : SoakFleet.ZONES) {
      if (fleet.isEvacuated(zone)) {
        evacuateOrLift(zone);
      }
    }
    Thread.sleep(SETTLE_MS);
    long servedBefore = monitor.servedCount();
    Thread.sleep(CHECK_MS);
    long served = monitor.servedCount() - servedBefore;
    // Some 40 new flows a second, with three requests in the mean.
    if (served < CHECK_MS / MS_PER_S * SoakTraffic.FLOWS_PER_S) {
      monitor.recordBreach(Rule.NO_RECOVERY, "served " + served + " in " + CHECK_MS + " ms");
    }
    fleet.checkProcesses();
  }

  private void inject() throws IOException, InterruptedException {
    String balancer = oneOf(SoakFleet.BALANCERS);
    String side = oneOf(fleet.sides());
    int delayMs = random.nextInt(HEALS_WITHIN_MS);
    switch (random.nextInt(FAULT_KINDS)) {
      case 0 -> endAndRestart(balancer, "KILL", delayMs);
      case 1 -> endAndRestart(balancer, "TERM", delayMs);
      case 2 -> pause(random.nextBoolean() ? balancer : side, MIN_PAUSE_MS + delayMs);
      case 3 -> endAndRestart(side, "KILL", delayMs);
      case 4 -> endAndRestart(side, "TERM", delayMs);
      case 5 -> troubleStore(MIN_STORE_TROUBLE_MS + delayMs);
      case 6 -> faults.note("compact", fleet.store()::compact);
      case 7 -> crash(side, delayMs);
      case 8 -> drain(side);
      case 9 -> evacuateOrLift(oneOf(SoakFleet.ZONES));
      default -> faults.note("configuration", this::changeConfiguration);
    }
  }

  private String oneOf(List<String> all) {
    return all.get(random.nextInt(all.size()));
  }

  private void changeConfiguration() {
    fleet.store().put(StoreKeys.CONFIGURATION, routes.change());
  }

  private void endAndRestart(String address, String signal, int delayMs)
      throws IOException, InterruptedException {
    Process process = fleet.processAt(address);
    if (!restarting.add(address)) {
      return;
    }
    monitor.recordFault(System.currentTimeMillis());
    faults.note(signal + " " + address, () -> Programs.signal(process, signal));
    faults.after(
        delayMs,
        "start " + address,
        () -> {
          process.waitFor();
          fleet.startProgram(address);
          restarting.remove(address);
        });
  }

  private void pause(String address, int forMs) throws IOException, InterruptedException {
    Process process = fleet.processAt(address);
    monitor.recordFault(System.currentTimeMillis() + forMs);
    faults.note("STOP " + address, () -> Programs.signal(process, "STOP"));
    faults.after(forMs, "CONT " + address, () -> Programs.signal(process, "CONT"));
  }

  private void troubleStore(int forMs) throws IOException, InterruptedException {
    StoreMode[] modes = {StoreMode.BUSY, StoreMode.SILENT, StoreMode.SLOW};
    StoreMode mode = modes[random.nextInt(modes.length)];
    monitor.recordFault(System.currentTimeMillis() + forMs);
    faults.note("store " + mode, () -> fleet.store().setMode(mode));
    faults.after(forMs, "store serves", () -> fleet.store().setMode(StoreMode.SERVING));
  }

  private void restoreStore() throws IOException, InterruptedException {
    int downMs = MIN_STORE_TROUBLE_MS + random.nextInt(HEALS_WITHIN_MS);
    monitor.recordFault(System.currentTimeMillis() + downMs);
    faults.note("store down, comes back from a copy", () -> fleet.store().setMode(StoreMode.BUSY));
    Thread.sleep(downMs);
    fleet.store().restore(copy);
    faults.note("store is back", () -> fleet.store().setMode(StoreMode.SERVING));
    Thread.sleep(random.nextInt(WRITTEN_AGAIN_WITHIN_MS));
    faults.note("written again", fleet::writeAgain);
    copy = fleet.store().copy();
  }

  private void crash(String address, int delayMs) throws IOException, InterruptedException {
    WatchedTarget target = fleet.targetAt(address);
    if (!target.isAlive()) {
      return;
    }
    String id = target.start().id();
    monitor.recordFault(System.currentTimeMillis());
    faults.note("crash " + id, target::close);
    faults.after(ENTRY_LAPSES_MS, "lapse " + id, () -> fleet.unlist(target));
    faults.after(
        MIN_TARGET_START_MS + delayMs, "new target at " + address, () -> fleet.replace(target));
  }

  private void drain(String address) throws IOException, InterruptedException {
    WatchedTarget target = fleet.targetAt(address);
    if (!target.isAlive()) {
      return;
    }
    String id = target.start().id();
    faults.note("drain " + id, () -> fleet.drain(target));
    faults.after(DRAIN_MS, "leave " + id, () -> leave(target));
  }

  private void leave(WatchedTarget target) throws IOException {
    fleet.unlist(target);
    if (target.isAlive()) {
      target.close();
      fleet.replace(target);
    }
  }

  private void evacuateOrLift(String zone) throws IOException, InterruptedException {
    String what = fleet.isEvacuated(zone) ? "lift " : "evacuate ";
    faults.note(what + zone, () -> fleet.evacuateOrLift(zone));
  }

  /** Returns what was broken so far. */
  public List<String> breaches() {
    return monitor.breaches();
  }

  /** Returns what was served, what failed and how many troubles there were. */
  public String summary() {
    return monitor.summary();
  }

  /** Ends all that was started, and writes down what was broken. */
  @Override
  public void close() throws IOException, InterruptedException {
    clients.close();
    router.close();
    faults.close();
    fleet.close();
    Files.write(folder.resolve("breaches.log"), monitor.breaches());
  }
}
