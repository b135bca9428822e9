package io.moorstage.forwarding;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.moorstage.core.model.Endpoint;
import java.io.IOException;
import java.io.OutputStream;

/** A small HTTP server of this process: one path, one answer, on one thread. */
final class HttpEndpoint {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int BACKLOG = 64;
  private static final int NO_BODY = -1;

  private final HttpServer server;

  /** Makes the body of an answer. */
  interface Content {
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

  static HttpEndpoint start(Endpoint endpoint, String path, Content content) throws IOException {
    HttpServer server =
        HttpServer.create(UdpPort.socketAddress(endpoint.ipv4(), endpoint.port()), BACKLOG);
    server.createContext(path, exchange -> answer(exchange, content));
    server.start();
    return new HttpEndpoint(server);
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
