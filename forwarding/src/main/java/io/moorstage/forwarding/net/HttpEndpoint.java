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
 * A small HTTP server of this process: one path, one answer, on a few threads.
 *
 * <p>Connections may fall silent for good without a reset. One that does so within a request, or
 * that does not read its answer, holds a thread until it is closed by the time-outs.
 */
public final class HttpEndpoint {
  /** The body of an answer of which the status alone counts. */
  public static final byte[] EMPTY_BODY = {};

  /** So many silent callers hold nobody up; a node is called by the platform and a few peers. */
  static final int MAX_THREADS = 3;

  /** Idle threads end: most calls come seconds apart. */
  private static final int KEEP_THREAD_S = 10;

  /**
   * The longest that a request or an answer may take. A state of 90 KB takes 75 ms at 10 Mbit/s;
   * with the server's own clock of 1 s, a silent connection is closed within 3 s.
   */
  private static final String MAX_S = "2";

  static {
    // The JDK's server reads these once, when its first instance is made; they have no setter.
    System.setProperty("sun.net.httpserver.maxReqTime", MAX_S);
    System.setProperty("sun.net.httpserver.maxRspTime", MAX_S);
  }

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  /**
   * The most connections that wait to be accepted. Not measured; chosen above the nodes of a zone
   * that ask for the state at one moment.
   */
  private static final int BACKLOG = 64;

  private static final int NO_BODY = -1;

  private final HttpServer server;

  /** Makes the body of an answer. */
  public interface Content {
    /**
     * Returns the body, or null if the process is not ready to answer.
     *
     * @param query what stands behind the path, or null
     */
    byte[] body(String query);
  }

  private HttpEndpoint(HttpServer server) {
    this.server = server;
  }

  /**
   * Binds a server and starts its threads.
   *
   * @param path the one path that is answered
   * @throws IOException if the address can't be bound
   */
  public static HttpEndpoint start(Endpoint endpoint, String path, Content content)
      throws IOException {
    HttpServer server =
        HttpServer.create(UdpPort.socketAddress(endpoint.ipv4(), endpoint.port()), BACKLOG);
    server.createContext(path, exchange -> answer(exchange, content));
    server.setExecutor(threads(path));
    server.start();
    return new HttpEndpoint(server);
  }

  // With all threads busy, the server's own thread answers, and takes no call meanwhile.
  private static Executor threads(String path) {
    return new ThreadPoolExecutor(
        0,
        MAX_THREADS,
        KEEP_THREAD_S,
        TimeUnit.SECONDS,
        new SynchronousQueue<>(),
        task -> {
          Thread thread = new Thread(task, "http-" + path);
          thread.setDaemon(true);
          return thread;
        },
        new ThreadPoolExecutor.CallerRunsPolicy());
  }

  private static void answer(HttpExchange exchange, Content content) throws IOException {
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
