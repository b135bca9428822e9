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
 * Should routers send clients' segments to this balancer?
 *
 * <p>Inputs: whether a configuration is known, whether the balancer stops, and, from the beacons of
 * the last {@link #MEMBERSHIP_MS}, which agents and balancers have fallen silent. Isolation is as
 * old as the last tick of the main loop, the rest as the moment of the question.
 *
 * <p>Rule: yes, if it knows a configuration, does not stop, and is not isolated. It is isolated if
 * it has lost all agents that it heard and most of the balancers. If the other balancers are there,
 * it is the agents that are away, and its clients would do no better elsewhere.
 *
 * <p>Reason: what reaches a balancer without a configuration, or without a way to any agent, is
 * lost, while another balancer could have forwarded it.
 */
final class BalancerReadiness implements HttpEndpoint.Content {
  /** Silence after which an agent or a balancer counts as lost. */
  static final int ISOLATED_AFTER_MS = BalancerBeacons.SILENT_AFTER_MS;

  /**
   * For how long a silent balancer still counts among those that there should be. Not measured;
   * chosen so that one that restarts is missed, and one that was taken away for good soon is not.
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

  /** The answer to a router: an empty body if the balancer is ready, null if it is not. */
  @Override
  @Nullable
  public byte[] body(@Nullable String query) {
    return isConfigured() && !isolated ? HttpEndpoint.EMPTY_BODY : null;
  }

  /** Returns whether the balancer knows a configuration and does not stop. */
  boolean isConfigured() {
    return configured && !drain.isStopping();
  }

  /** Takes a newer state. */
  void onState(FleetState state) {
    if (!configured && !drain.isStopping() && state.configuration().version() > 0) {
      configured = true;
      log.event("ready", "revision", Revision.text(state.revision()));
    }
  }

  /** Looks whether the balancer is cut off; called with each tick. */
  void checkIsolation(long nowMs) {
    boolean cutOff = isCutOff(nowMs);
    if (cutOff != isolated) {
      isolated = cutOff;
      log.event(cutOff ? "isolated" : "reconnected", "balancers", balancers.liveCount(nowMs));
    }
  }

  private boolean isCutOff(long nowMs) {
    return policy.uses(Mechanism.ISOLATION)
        && balancer.hasLostAllAgents(ISOLATED_AFTER_MS, nowMs)
        && balancers.hasLostMost(ISOLATED_AFTER_MS, MEMBERSHIP_MS, nowMs);
  }
}
