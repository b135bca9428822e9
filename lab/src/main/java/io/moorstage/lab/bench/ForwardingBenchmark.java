package io.moorstage.lab.bench;

import io.moorstage.core.balancer.FlowBalancer;
import io.moorstage.core.flow.Segment;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Measures the time of one forwarding decision for a segment of an open flow, with many flows held
 * and accessed in random order. Each invocation makes 1,000 decisions, so that the cost of reading
 * the clock does not affect the result.
 */
@State(Scope.Benchmark)
@BenchmarkMode({Mode.AverageTime, Mode.SampleTime})
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(2)
public class ForwardingBenchmark {
  private static final int DECISIONS = 1000;
  private static final long SEED = 20261202;

  /** Number of flows that the balancer holds. */
  @Param({"300000"})
  public int heldFlows;

  private final ByteBuffer datagram = OpenFlows.datagram();
  private FlowBalancer balancer;
  private Segment[] segments;
  private int next;

  /** Opens the flows and shuffles their segments. */
  @Setup
  public void fill() {
    balancer = OpenFlows.balancer(heldFlows);
    segments = new Segment[heldFlows];
    for (int number = 0; number < heldFlows; number++) {
      segments[number] = OpenFlows.data(OpenFlows.flow(number));
    }
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
    for (int last = heldFlows - 1; last > 0; last--) {
      int other = random.nextInt(last + 1);
      Segment segment = segments[last];
      segments[last] = segments[other];
      segments[other] = segment;
    }
  }

  /** Forwards data segments of open flows. */
  @Benchmark
  @OperationsPerInvocation(DECISIONS)
  public void openFlow() {
    next = next + DECISIONS > heldFlows ? 0 : next;
    for (int decision = 0; decision < DECISIONS; decision++) {
      balancer.onClientSegment(segments[next++], datagram, 1);
    }
  }

  /** Runs the benchmark with the allocation profiler. */
  public static void main(String[] arguments) throws RunnerException {
    OptionsBuilder options = new OptionsBuilder();
    options.include(ForwardingBenchmark.class.getSimpleName()).addProfiler(GCProfiler.class);
    new Runner(options.build()).run();
  }
}
