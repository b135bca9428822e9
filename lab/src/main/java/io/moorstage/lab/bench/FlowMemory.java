package io.moorstage.lab.bench;

import com.beust.jcommander.Parameters;
import io.moorstage.core.message.FlowHint;
import io.moorstage.core.message.ForwardedDatagram;
import io.moorstage.core.model.FlowKey;
import io.moorstage.core.placement.AnnouncementKind;
import io.moorstage.core.placement.FlowAnnouncement;
import io.moorstage.core.placement.HomeAgent;
import io.moorstage.core.placement.OwnedFlows;
import io.moorstage.core.placement.PlacementHeader;
import io.moorstage.core.placement.PlacementSettings;
import io.moorstage.core.steering.SteeringShard;
import io.moorstage.core.steering.SteeringTables;
import io.moorstage.core.transparent.FlowAgent;
import io.moorstage.core.transparent.FlowBalancer;
import io.moorstage.lab.LabCommand;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures the heap that held flows take: at a balancer, in a home agent's directory, and as
 * transparent flows at a balancer and an agent.
 */
@Parameters(commandDescription = "Measure the heap that held flows take")
public final class FlowMemory implements LabCommand {
  private static final int SHARDS = 16;
  private static final int FIRST_CALLER = 0x0A000000;
  private static final int[] BALANCER_FLOWS = {300_000, 1_000_000, 3_000_000};
  private static final int[] TRANSPARENT_FLOWS = {20_000, 300_000};
  private static final int[] DIRECTORY_FLOWS = {2_000, 20_000, 100_000};
  private static final int SERVICE = 1;
  private static final int HOME = 100;
  private static final int OWNER = 101;

  @Override
  public void start() {
    for (int flows : BALANCER_FLOWS) {
      long before = usedHeap();
      SteeringShard[] shards = balancer(flows);
      print("balancer", flows, usedHeap() - before);
      int held = Arrays.stream(shards).mapToInt(SteeringShard::hintCount).sum();
      require(held == flows, held);
    }
    for (int flows : DIRECTORY_FLOWS) {
      long before = usedHeap();
      HomeAgent agent = homeAgent(flows);
      print("directory", flows, usedHeap() - before);
      require(agent.directorySize() == flows, agent.directorySize());
    }
    for (int flows : TRANSPARENT_FLOWS) {
      measureTransparent(flows);
    }
  }

  private static void measureTransparent(int flows) {
    long before = usedHeap();
    FlowBalancer balancer = TransparentFlows.balancer(flows);
    print("transparent-balancer", flows, usedHeap() - before);
    require(balancer.flowCount() == flows, balancer.flowCount());
    before = usedHeap();
    FlowAgent agent = TransparentFlows.agent(flows);
    print("transparent-agent", flows, usedHeap() - before);
    require(agent.flowCount() == flows, agent.flowCount());
  }

  private static SteeringShard[] balancer(int flows) {
    SteeringShard[] shards = new SteeringShard[SHARDS];
    SteeringTables tables = SteeringBenchmark.tables();
    for (int shard = 0; shard < SHARDS; shard++) {
      shards[shard] = new SteeringShard(2 * flows / SHARDS, TimeUnit.HOURS.toNanos(1));
      shards[shard].onTables(tables);
    }
    for (int flow = 0; flow < flows; flow++) {
      long key = FlowKey.of(FIRST_CALLER + flow, 1024, SERVICE);
      shards[SteeringShard.shardOf(key, SHARDS)].onHint(new FlowHint(key, OWNER, 1), 0);
    }
    return shards;
  }

  private static HomeAgent homeAgent(int flows) {
    PlacementSettings settings = PlacementSettings.builder().maxDirectoryEntries(2 * flows).build();
    HomeAgent agent =
        new HomeAgent(
            settings,
            SERVICE,
            HOME,
            1,
            new NoFlows(),
            RandomSource.XO_RO_SHI_RO_128_PP.create(1),
            (to, message) -> {},
            0);
    agent.onTables(SteeringBenchmark.tables(), 0);
    PlacementHeader header = new PlacementHeader(HOME, OWNER, 1, 1);
    for (int flow = 0; flow < flows; flow++) {
      long[] key = {FlowKey.of(FIRST_CALLER + flow, 1024, SERVICE)};
      agent.onMessage(
          new FlowAnnouncement(header, AnnouncementKind.REFRESH, 0, flow, 0, 1, key), 0);
    }
    return agent;
  }

  private static long usedHeap() {
    // Twice, as the first run may only queue what the second one frees.
    System.gc();
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static void print(String table, int flows, long bytes) {
    System.out.printf(
        "table=%s flows=%d heapBytes=%d bytesPerFlow=%.1f%n",
        table, flows, bytes, (double) bytes / flows);
  }

  private static void require(boolean condition, int value) {
    if (!condition) {
      throw new IllegalStateException("holds " + value);
    }
  }

  private static final class NoFlows implements OwnedFlows {
    @Override
    public boolean owns(long flowKey) {
      return false;
    }

    @Override
    public void forEachFlow(LongConsumer consumer) {}

    @Override
    public int flowCount() {
      return 0;
    }

    @Override
    public int slotsInUse() {
      return 0;
    }

    @Override
    public int reportedLoadPercent() {
      return NOT_REPORTED;
    }

    @Override
    public boolean acceptsNewFlows() {
      return true;
    }

    @Override
    public void placeHere(ForwardedDatagram datagram, long nowNanos) {}

    @Override
    public boolean dropIfUnused(long flowKey, long nowNanos) {
      return false;
    }
  }
}
