package io.moorstage.forwarding.daemon;

import io.moorstage.core.model.Endpoint;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.metrics.ForwardingMetrics;
import io.moorstage.forwarding.net.HttpEndpoint;
import io.moorstage.forwarding.settings.ForwardingSettings;
import io.moorstage.forwarding.state.PeerStateClient;
import java.io.IOException;

/**
 * The HTTP servers of a daemon for readiness probes, for the state that other nodes fetch, and for
 * metrics. Their start takes as much processor time as the rest of the startup, so a daemon starts
 * them after its data path.
 */
final class DaemonEndpoints {
  private static final String READINESS_PATH = "/";

  private final ForwardingSettings settings;
  private final HttpEndpoint.Content readiness;
  private final HttpEndpoint.Content state;
  private final ForwardingMetrics metrics;
  private final EventLog log;

  /**
   * Creates endpoints. No port is bound before {@link #start()}.
   *
   * @param readiness returns an empty body if the daemon is ready, null if it is not
   * @param state returns the encoded state, null if there is none
   */
  DaemonEndpoints(
      ForwardingSettings settings,
      HttpEndpoint.Content readiness,
      HttpEndpoint.Content state,
      ForwardingMetrics metrics,
      EventLog log) {
    this.settings = settings;
    this.readiness = readiness;
    this.state = state;
    this.metrics = metrics;
    this.log = log;
  }

  /**
   * Binds and starts the servers. If the metrics port can't be bound, the failure is logged and the
   * daemon runs without metrics.
   *
   * @throws IOException if the readiness port or the state port can't be bound
   */
  void start() throws IOException {
    HttpEndpoint.start(settings.readiness(), READINESS_PATH, readiness);
    Endpoint stateEndpoint = Endpoint.of(settings.address(), settings.statePort());
    HttpEndpoint.start(stateEndpoint, PeerStateClient.PATH, state);
    metrics.serve(Endpoint.of(settings.address(), settings.metricsPort()), log);
  }
}
