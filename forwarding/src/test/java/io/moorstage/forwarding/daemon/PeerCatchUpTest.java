package io.moorstage.forwarding.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.moorstage.core.model.Endpoint;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.state.Evacuations;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.WeightedService;
import io.moorstage.forwarding.log.EventLog;
import io.moorstage.forwarding.metrics.ForwardingMetrics;
import io.moorstage.forwarding.net.ProcessorLag;
import io.moorstage.forwarding.settings.ForwardingSettings;
import io.moorstage.forwarding.source.SourceFollower;
import io.moorstage.forwarding.source.SourceReaders;
import io.moorstage.forwarding.state.FleetStateCodec;
import io.moorstage.forwarding.state.PeerStateQuery;
import io.moorstage.forwarding.state.StateKeeper;
import io.moorstage.forwarding.state.StateSource;
import io.moorstage.forwarding.state.StateSourceException;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against the reset of open flows by a balancer that has just started: it read the source
 * before it heard of a peer, and then no peer was ahead, so it never learned of the former services
 * of routes.
 */
class PeerCatchUpTest {
  private static final int LOOPBACK = 0x7F000001;
  private static final int RETENTION_MS = 70_000;
  private static final int TIMEOUT_S = 20;

  private final EventLog log = new EventLog("b");
  private final CountDownLatch formerServiceKnown = new CountDownLatch(1);
  private final StateKeeper keeper =
      new StateKeeper(
          RETENTION_MS,
          (before, after, nowMs) -> {
            if (!after.configuration().formerServices().isEmpty()) {
              formerServiceKnown.countDown();
            }
          });
  private final BlockingQueue<String> queries = new LinkedBlockingQueue<>();
  private HttpServer peer;
  private PeerCatchUp catchUp;

  @BeforeEach
  void start() throws IOException {
    peer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
    peer.start();
    StateSource unused =
        (StateSource)
            Proxy.newProxyInstance(
                StateSource.class.getClassLoader(),
                new Class<?>[] {StateSource.class},
                (proxy, method, arguments) -> {
                  throw new UnsupportedOperationException(method.getName());
                });
    ForwardingMetrics metrics = new ForwardingMetrics(log);
    SourceFollower.Conditions conditions =
        new SourceFollower.Conditions(
            ForwardingPolicy.STANDARD, new ProcessorLag(), new SourceReaders(LOOPBACK, "z"));
    SourceFollower follower =
        new SourceFollower(unused, keeper, nowMs -> {}, conditions, log, metrics);
    catchUp = new PeerCatchUp(settings(), keeper, follower, metrics, log);
  }

  @AfterEach
  void stop() {
    peer.stop(0);
  }

  private ForwardingSettings settings() {
    Endpoint any = Endpoint.of(LOOPBACK, 1);
    return new ForwardingSettings(
        "b",
        "z",
        LOOPBACK,
        1,
        peer.getAddress().getPort(),
        1,
        any,
        List.of(),
        any,
        any,
        null,
        null,
        null,
        false,
        Set.of());
  }

  private static FleetState routedTo(String service, long revision, long version) {
    ForwardingRoute route =
        new ForwardingRoute(1, 443, 0, true, List.of(new WeightedService(service, 1)));
    return FleetState.of(
        revision,
        new ForwardingConfiguration(version, 1_000, List.of(route), Map.of()),
        List.of(),
        Evacuations.NONE);
  }

  private void assertFormerServiceIsKnown() {
    assertThat(keeper.state().configuration().routes().get(0).services())
        .containsExactly(new WeightedService("b", 1), new WeightedService("a", 0))
        .inOrder();
  }

  @Test
  void formerServiceIsTakenFromAPeersOlderState() throws StateSourceException {
    keeper.replaceBy(routedTo("b", 9, 52), 0);
    byte[] older = FleetStateCodec.encode(routedTo("a", 8, 51));
    catchUp.onPeerState(LOOPBACK, PeerStateQuery.COMPLETE_STATE, older);
    assertFormerServiceIsKnown();
    assertThat(keeper.state().revision()).isEqualTo(9);
    assertThat(keeper.state().configuration().version()).isEqualTo(52);
  }

  @Test
  void completeStateOfOnePeerIsFetchedThoughTheSourceWasFaster() throws Exception {
    FleetState peerState = routedTo("a", 8, 51).replaceBy(routedTo("b", 9, 52));
    byte[] encoded = FleetStateCodec.encode(peerState);
    peer.createContext(
        "/",
        exchange -> {
          queries.add(exchange.getRequestURI().getQuery());
          exchange.sendResponseHeaders(200, encoded.length);
          exchange.getResponseBody().write(encoded);
          exchange.close();
        });
    keeper.replaceBy(routedTo("b", 9, 52), 0);
    catchUp.start();
    catchUp.onAdvertised(LOOPBACK, "z", 9, 0);
    assertThat(formerServiceKnown.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    assertFormerServiceIsKnown();
    assertThat(queries.poll()).isEqualTo(PeerStateQuery.COMPLETE_STATE.toString());

    // Later queries are for changes only, when a peer is ahead.
    String query = null;
    for (long nowMs = 1_000; query == null && nowMs < 100 * 1_000; nowMs += 1_000) {
      catchUp.onAdvertised(LOOPBACK, "z", 9, nowMs);
      catchUp.onAdvertised(LOOPBACK, "z", 10, nowMs);
      catchUp.fetchIfBehind(nowMs + 500);
      query = queries.poll(200, TimeUnit.MILLISECONDS);
    }
    assertThat(query).isEqualTo(new PeerStateQuery(9, 52).toString());
  }
}
