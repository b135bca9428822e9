package io.moorstage.lab.monitor;

import io.moorstage.lab.client.RequestText;
import io.moorstage.lab.edge.Ipv4;
import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.targets.StandInTarget;
import io.moorstage.lab.targets.TargetListener;
import io.moorstage.lab.targets.TargetStart;
import io.moorstage.lab.targets.TargetWork;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import javax.annotation.Nullable;

/** A target that reports its received packets, opened flows and run requests to the monitor. */
public final class WatchedTarget implements AutoCloseable {
  private final TargetStart start;
  private final RuleMonitor monitor;
  private final ExpectedRoutes routes;
  @Nullable private final LoadMonitor load;
  private final StandInTarget target;
  private final AtomicLong runs = new AtomicLong();
  private final AtomicLong lateOpenings = new AtomicLong();
  private volatile long noNewFlowsSinceMs = Long.MAX_VALUE;
  private volatile long newFlowsSinceMs = System.currentTimeMillis();

  /**
   * Starts a target.
   *
   * @throws IOException if one of its ports can't be bound
   */
  public WatchedTarget(TargetStart start, RuleMonitor monitor, ExpectedRoutes routes)
      throws IOException {
    this(start, monitor, routes, null, null);
  }

  /**
   * Starts a target whose requests take time.
   *
   * @param work the work of its requests; null if it answers each at once
   * @param load also gets the run requests, unless it is null
   * @throws IOException if one of its ports can't be bound
   */
  public WatchedTarget(
      TargetStart start,
      RuleMonitor monitor,
      ExpectedRoutes routes,
      @Nullable TargetWork work,
      @Nullable LoadMonitor load)
      throws IOException {
    this.load = load;
    this.start = start;
    this.monitor = monitor;
    this.routes = routes;
    this.target = new StandInTarget(start, new MonitoringListener(), work);
  }

  /** Returns the start of this target. */
  public TargetStart start() {
    return start;
  }

  /** Returns the target itself. */
  public StandInTarget target() {
    return target;
  }

  /**
   * Sets the time since which this target must get no new flows because it drains or its zone is
   * evacuated, in milliseconds since the epoch; {@code Long.MAX_VALUE} if it may get new flows.
   */
  public void setNoNewFlowsSince(long sinceMs) {
    noNewFlowsSinceMs = sinceMs;
    newFlowsSinceMs = System.currentTimeMillis();
  }

  /** Sets the time since which this target may get new flows, in milliseconds since the epoch. */
  void setNewFlowsSince(long sinceMs) {
    newFlowsSinceMs = sinceMs;
  }

  /** Returns whether the target is alive and must be known everywhere to take new flows. */
  boolean mustTakeNewFlows(long nowMs) {
    boolean takesNewFlows = isAlive() && noNewFlowsSinceMs == Long.MAX_VALUE;
    return takesNewFlows && monitor.mustBeEffective(newFlowsSinceMs, nowMs);
  }

  /** Returns whether a route is not configured, or was not at some time since another. */
  boolean wasRouteDroppedSince(int routeAddress, long sinceMs) {
    return routes.wasDroppedSince(routeAddress, sinceMs);
  }

  /** Returns whether the target has not been closed. */
  public boolean isAlive() {
    return target.isAlive();
  }

  /** Returns the number of requests that this target has run. */
  public long runCount() {
    return runs.get();
  }

  /**
   * Returns the number of flows that opened here more than {@link RuleMonitor#PROPAGATION_LIMIT_MS}
   * after the target was to get no new flows. Unlike {@link Rule#LATE_OPENING}, this count includes
   * flows that opened soon after a fault.
   */
  public long lateOpeningCount() {
    return lateOpenings.get();
  }

  private final class MonitoringListener implements TargetListener {
    @Override
    public void onPacket(ByteBuffer packet) {
      monitor.recordReceivedPacket(Packets.immutableContent(packet), start.id());
      boolean isOpening = Packets.isOpening(packet);
      monitor.recordPacketOfFlow(Packets.flow(packet), isOpening, WatchedTarget.this);
    }

    @Override
    public void onOpened(ByteBuffer packet) {
      monitor.recordOpenedFlow(Packets.flow(packet), WatchedTarget.this);
      checkOpenedFlow(Packets.destination(packet), System.currentTimeMillis());
    }

    @Override
    public void onRun(ByteBuffer packet) {
      if (load != null) {
        load.recordRun(Packets.sourcePort(packet), start.id());
      }
    }

    @Override
    public String rejectRequest(String request) {
      return RequestText.rejection(RequestText.numberOf(request), start.id());
    }

    @Override
    public String runRequest(String request) {
      long number = RequestText.numberOf(request);
      runs.incrementAndGet();
      monitor.recordRun(number, start.id());
      return RequestText.response(number, start.id());
    }
  }

  private void checkOpenedFlow(int routeAddress, long nowMs) {
    if (!routes.mayReceiveFlows(routeAddress, start.service())) {
      String route = Ipv4.text(routeAddress);
      String detail = start.id() + " of " + start.service() + " got a flow of " + route;
      monitor.recordBreach(Rule.WRONG_SERVICE, detail);
    }
    if (nowMs - noNewFlowsSinceMs > RuleMonitor.PROPAGATION_LIMIT_MS) {
      lateOpenings.incrementAndGet();
    }
    if (monitor.mustBeEffective(noNewFlowsSinceMs, nowMs)) {
      String detail = start.id() + " in " + start.zone() + " since " + noNewFlowsSinceMs;
      monitor.recordBreach(Rule.LATE_OPENING, detail);
    }
    if (monitor.mustBeEffective(routes.removedSinceMs(routeAddress, start.service()), nowMs)) {
      String detail = start.id() + " got a flow of a route that was removed or moved";
      monitor.recordBreach(Rule.OLD_CONFIGURATION, detail);
    }
  }

  /** Closes the target at once; its flows are lost. */
  @Override
  public void close() throws IOException {
    target.close();
  }
}
