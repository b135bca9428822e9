package io.moorstage.forwarding.daemon;

import io.moorstage.core.balancer.FlowBalancer;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.Revision;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.net.HttpEndpoint;
import io.moorstage.forwarding.peer.BalancerBeacons;
import io.moorstage.forwarding.peer.PeerDirectory;
import javax.annotation.Nullable;

/**
 * Decides whether this balancer reports itself as ready, so that routers send it the segments of
 * clients.
 *
 * <p>Inputs: whether a configuration is known, whether the balancer is stopping, and which agents
 * and balancers have timed out, judged from the beacons of the last {@link #MEMBERSHIP_MS}.
 * Isolation is evaluated at each tick of the main loop, the other inputs at each readiness probe.
 *
 * <p>The balancer is ready if it has a configuration, is not stopping and is not isolated. It is
 * isolated if all its known agents and most of the balancers have timed out. If the other balancers
 * still send beacons, the agents themselves are unavailable and another balancer could not serve
 * the clients either.
 *
 * <p>A segment that reaches a balancer without a configuration, or without a connection to any
 * agent, is lost, while another balancer could have forwarded it.
 */
final class BalancerReadiness implements HttpEndpoint.Content {
  /** The time without a beacon after which an agent or a balancer times out, in milliseconds. */
  static final int ISOLATION_TIMEOUT_MS = BalancerBeacons.BEACON_TIMEOUT_MS;

  /**
   * How long a balancer counts as an expected member after its last beacon, in milliseconds. A
   * balancer that restarts remains expected, while one that was removed soon ceases to be.
   */
  static final int MEMBERSHIP_MS = 20_000;

  private final ForwardingPolicy policy;
  private final FlowBalancer balancer;
  private final PeerDirectory balancers;
  private final BalancerDrain drain;
  private final EventLog log;
  private volatile boolean configured;
  private volatile boolean isolated;

  BalancerReadiness(
      ForwardingPolicy policy,
      FlowBalancer balancer,
      PeerDirectory balancers,
      BalancerDrain drain,
      EventLog log) {
    this.policy = policy;
    this.balancer = balancer;
    this.balancers = balancers;
    this.drain = drain;
    this.log = log;
  }

  /**
   * Returns the response to a router's readiness probe: an empty body if the balancer is ready,
   * null if it is not.
   */
  @Override
  @Nullable
  public byte[] body(@Nullable String query) {
    return isConfigured() && !isolated ? HttpEndpoint.EMPTY_BODY : null;
  }

  /** Returns whether the balancer has a configuration and is not stopping. */
  boolean isConfigured() {
    return configured && !drain.isStopping();
  }

  /** Records whether a newer state has a configuration, unless the balancer is stopping. */
  void onState(FleetState state) {
    if (!configured && !drain.isStopping() && state.configuration().version() > 0) {
      configured = true;
      log.event("ready", "revision", Revision.text(state.revision()));
    }
  }

  /** Updates whether the balancer is isolated. The main loop calls this at each tick. */
  void updateIsolation(long nowMs) {
    boolean isolatedNow = isIsolated(nowMs);
    if (isolatedNow != isolated) {
      isolated = isolatedNow;
      log.event(isolatedNow ? "isolated" : "reconnected", "balancers", balancers.liveCount(nowMs));
    }
  }

  private boolean isIsolated(long nowMs) {
    return policy.uses(Mechanism.ISOLATION)
        && balancer.hasLostAllAgents(ISOLATION_TIMEOUT_MS, nowMs)
        && balancers.hasLostMost(ISOLATION_TIMEOUT_MS, MEMBERSHIP_MS, nowMs);
  }
}
