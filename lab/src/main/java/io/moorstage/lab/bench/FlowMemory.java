package io.moorstage.lab.bench;

import com.beust.jcommander.Parameters;
import io.moorstage.core.agent.FlowAgent;
import io.moorstage.core.balancer.FlowBalancer;
import io.moorstage.lab.ExitCode;
import io.moorstage.lab.LabCommand;
import java.lang.management.ManagementFactory;

/** Measures the heap usage of held flows in a balancer and in an agent, in bytes per flow. */
@Parameters(commandDescription = "Measure the heap usage of held flows")
public final class FlowMemory implements LabCommand {
  /** Number of flows of one target at its connection limit, and of a busy balancer. */
  private static final int[] HELD_FLOWS = {20_000, 300_000};

  @Override
  public int run() {
    for (int flows : HELD_FLOWS) {
      measure(flows);
    }
    return ExitCode.DONE;
  }

  private static void measure(int flows) {
    long before = usedHeap();
    FlowBalancer balancer = OpenFlows.balancer(flows);
    print("balancer", flows, usedHeap() - before);
    require(balancer.flowCount() == flows, balancer.flowCount());
    before = usedHeap();
    FlowAgent agent = OpenFlows.agent(flows);
    print("agent", flows, usedHeap() - before);
    require(agent.flowCount() == flows, agent.flowCount());
  }

  private static long usedHeap() {
    // Twice, because the first collection may only enqueue references that the second one frees.
    System.gc();
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static void print(String holder, int flows, long bytes) {
    System.out.printf(
        "holder=%s flows=%d heapBytes=%d bytesPerFlow=%.1f%n",
        holder, flows, bytes, (double) bytes / flows);
  }

  private static void require(boolean condition, int heldFlows) {
    if (!condition) {
      throw new IllegalStateException("unexpected number of held flows: " + heldFlows);
    }
  }
}
