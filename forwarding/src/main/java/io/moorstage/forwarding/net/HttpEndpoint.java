package io.moorstage.forwarding.net;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.moorstage.core.model.Endpoint;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.Executor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A small HTTP server that serves one path on a few threads.
 *
 * <p>A connection may stall permanently without a reset. A connection that stalls within a request,
 * or whose client does not read the response, occupies a thread until the server's timeouts close
 * it.
 */
public final class HttpEndpoint {
  /** The body of a successful response that consists of the status alone. */
  public static final byte[] EMPTY_BODY = {};

  /**
   * Maximum number of threads. Up to this many stalled connections don't delay other requests,
   * which is enough since only the platform and a few peers call a node.
   */
  static final int MAX_THREADS = 3;

  /** Time after which an idle thread ends: most requests arrive seconds apart. */
  private static final int THREAD_KEEP_ALIVE_S = 10;

  /**
   * Maximum time to receive a request, and to send a response. Sending a state of 90 KB takes 75 ms
   * at 10 Mbit/s. Since the server checks its timeouts once a second, a stalled connection is
   * closed within 3 s.
   */
  private static final String MAX_TRANSFER_S = "2";

  static {
    // The JDK's server reads these properties when its first instance is created. There is no
    // setter for them.
    System.setProperty("sun.net.httpserver.maxReqTime", MAX_TRANSFER_S);
    System.setProperty("sun.net.httpserver.maxRspTime", MAX_TRANSFER_S);
  }

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  /**
   * Maximum number of connections that wait to be accepted; above the number of nodes of a zone
   * that request the state at the same time.
   */
  private static final int BACKLOG = 64;

  private static final int NO_BODY = -1;

  private final HttpServer server;

  /** Provides the body of a response. */
  public interface Content {
    /**
     * Returns the body, or null to respond with status 503 (unavailable).
     *
     * @param query the raw query string of the request, or null if it has none
     */
    byte[] body(String query);
  }

  private HttpEndpoint(HttpServer server) {
    this.server = server;
  }

  /**
   * Binds a server and starts its threads.
   *
   * @param path the path to serve
   * @param content provides the body of each response; called concurrently by several threads
   * @throws IOException if the address can't be bound
   */
  public static HttpEndpoint start(Endpoint endpoint, String path, Content content)
      throws IOException {
    HttpServer server =
        HttpServer.create(UdpPort.socketAddress(endpoint.ipv4(), endpoint.port()), BACKLOG);
    server.createContext(path, exchange -> respond(exchange, content));
    server.setExecutor(createExecutor(path));
    server.start();
    return new HttpEndpoint(server);
  }

  // While all threads are busy, the server's dispatcher thread handles the request itself and
  // accepts no other connection until it is done.
  private static Executor createExecutor(String path) {
    return new ThreadPoolExecutor(
        0,
        MAX_THREADS,
        THREAD_KEEP_ALIVE_S,
        TimeUnit.SECONDS,
        new SynchronousQueue<>(),
        task -> {
          Thread thread = new Thread(task, "http-" + path);
          thread.setDaemon(true);
          return thread;
        },
        new ThreadPoolExecutor.CallerRunsPolicy());
  }

  private static void respond(HttpExchange exchange, Content content) throws IOException {
    byte[] body = content.body(exchange.getRequestURI().getRawQuery());
    if (body == null || body.length == 0) {
      exchange.sendResponseHeaders(body == null ? UNAVAILABLE : OK, NO_BODY);
    } else {
      exchange.sendResponseHeaders(OK, body.length);
      try (OutputStream out = exchange.getResponseBody()) {
        out.write(body);
      }
    }
    exchange.close();
  }

  void stop() {
    server.stop(0);
  }
}
