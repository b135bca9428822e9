package io.moorstage.forwarding.net;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.model.Endpoint;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against connections that occupy all threads of an endpoint. A connection may stall
 * permanently without a reset, within a request or while the response is sent.
 */
class HttpEndpointTest {
  private static final int LOOPBACK = 0x7F000001;
  private static final int TIMEOUT_MS = 20_000;

  /** Response size that exceeds the buffers of a connection, so that sending it blocks. */
  private static final int LARGE_BYTES = 24 << 20;

  private final List<Socket> stalledSockets = new ArrayList<>();
  private HttpEndpoint endpoint;
  private int port;

  @BeforeEach
  void start() throws IOException {
    try (ServerSocket temporary = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = temporary.getLocalPort();
    }
    byte[] large = new byte[LARGE_BYTES];
    byte[] small = {1};
    endpoint =
        HttpEndpoint.start(
            Endpoint.of(LOOPBACK, port), "/", query -> "large".equals(query) ? large : small);
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : stalledSockets) {
      socket.close();
    }
    endpoint.stop();
  }

  private Socket send(String text) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    stalledSockets.add(socket);
    socket.setSoTimeout(TIMEOUT_MS);
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
    return socket;
  }

  private void assertResponds() throws IOException {
    HttpURLConnection connection =
        (HttpURLConnection) new URL("http://127.0.0.1:" + port + "/").openConnection();
    connection.setConnectTimeout(TIMEOUT_MS);
    connection.setReadTimeout(TIMEOUT_MS);
    try (InputStream in = connection.getInputStream()) {
      assertThat(in.readAllBytes()).isEqualTo(new byte[] {1});
    }
  }

  @Test
  void clientsThatStallWithinTheirRequestDoNotBlockOtherRequests() throws IOException {
    for (int i = 0; i < 2 * HttpEndpoint.MAX_THREADS; i++) {
      send("GET / HTTP/1.1\r\nHo");
    }
    assertResponds();
  }

  @Test
  void clientsThatDoNotReadTheirResponseDoNotBlockOtherRequests() throws IOException {
    for (int i = 0; i < 2 * HttpEndpoint.MAX_THREADS; i++) {
      send("GET /?large HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    assertResponds();
  }

  @Test
  void connectionThatStallsWithinARequestIsClosed() throws IOException {
    Socket socket = send("GET / HTTP/1.1\r\nHo");
    assertThat(socket.getInputStream().read()).isEqualTo(-1);
  }
}
