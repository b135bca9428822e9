package io.moorstage.lab.monitor;

import io.moorstage.lab.client.RequestText;
import io.moorstage.lab.edge.Ipv4;
import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.targets.StandInTarget;
import io.moorstage.lab.targets.TargetListener;
import io.moorstage.lab.targets.TargetStart;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;

/** A target that reports to the monitor what reaches it, what opens at it and what it runs. */
public final class WatchedTarget implements AutoCloseable {
  private final TargetStart start;
  private final RuleMonitor monitor;
  private final RouteRules routes;
  private final StandInTarget target;
  private final AtomicLong runs = new AtomicLong();
  private final AtomicLong lateOpenings = new AtomicLong();
  private volatile long takesNoneSinceMs = Long.MAX_VALUE;

  /**
   * Starts a target.
   *
   * @throws IOException if one of its ports can't be bound
   */
  public WatchedTarget(TargetStart start, RuleMonitor monitor, RouteRules routes)
      throws IOException {
    this.start = start;
    this.monitor = monitor;
    this.routes = routes;
    this.target = new StandInTarget(start, new Reports());
  }

  /** Returns which start this is. */
  public TargetStart start() {
    return start;
  }

  /** Returns the target itself. */
  public StandInTarget target() {
    return target;
  }

  /** From some time on, the operator or the target wants no new flow here; never: MAX_VALUE. */
  public void takesNoneSince(long sinceMs) {
    takesNoneSinceMs = sinceMs;
  }

  /** Returns whether it has not been ended. */
  public boolean isAlive() {
    return target.isAlive();
  }

  /** Returns how many requests it has run. */
  public long runCount() {
    return runs.get();
  }

  /**
   * Returns how many flows have opened here longer after it took no more than that may take to be
   * known everywhere, troubles or not.
   */
  public long lateOpeningCount() {
    return lateOpenings.get();
  }

  private final class Reports implements TargetListener {
    @Override
    public void onPacket(ByteBuffer packet) {
      monitor.reached(Packets.immutableContent(packet), start.id());
    }

    @Override
    public void onOpened(ByteBuffer packet) {
      noteOpened(Packets.destination(packet), System.currentTimeMillis());
    }

    @Override
    public String runRequest(String request) {
      long number = RequestText.numberOf(request);
      runs.incrementAndGet();
      monitor.ran(number, start.id());
      return RequestText.response(number, start.id());
    }
  }

  private void noteOpened(int routeAddress, long nowMs) {
    if (!routes.mayTake(routeAddress, start.service())) {
      String route = Ipv4.text(routeAddress);
      String detail = start.id() + " of " + start.service() + " got a flow of " + route;
      monitor.breach(Rule.WRONG_SERVICE, detail);
    }
    if (nowMs - takesNoneSinceMs > RuleMonitor.IN_FORCE_WITHIN_MS) {
      lateOpenings.incrementAndGet();
    }
    if (monitor.mustBeInForce(takesNoneSinceMs, nowMs)) {
      String detail = start.id() + " in " + start.zone() + " since " + takesNoneSinceMs;
      monitor.breach(Rule.LATE_OPENING, detail);
    }
    if (monitor.mustBeInForce(routes.droppedSinceMs(routeAddress, start.service()), nowMs)) {
      String detail = start.id() + " got a flow of a route that was dropped or moved";
      monitor.breach(Rule.OLD_CONFIGURATION, detail);
    }
  }

  /** Ends at once and forgets its flows. */
  @Override
  public void close() throws IOException {
    target.close();
  }
}
