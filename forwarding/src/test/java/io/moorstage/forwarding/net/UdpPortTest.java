package io.moorstage.forwarding.net;

import static com.google.common.truth.Truth.assertThat;

import io.moorstage.core.model.Endpoint;
import io.moorstage.forwarding.log.EventLog;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Guards against failures to send that reach the caller or flood the log. The system rejects, for
 * example, a datagram that is too long.
 */
class UdpPortTest {
  private static final int LOOPBACK = 0x7F000001;

  /** Exceeds the maximum length of an IPv4 datagram, so that the system rejects it. */
  private static final int EXCESSIVE_BYTES = 70_000;

  private final EventLog log = new EventLog("node");

  @Test
  void sendFailureIsLoggedOnceWithTheReceiverAndNotThrown() throws IOException {
    UdpPort port = new UdpPort(Endpoint.of(LOOPBACK, 0), log);
    port.bind();
    InetSocketAddress receiver = UdpPort.socketAddress(LOOPBACK, 9);
    for (int i = 0; i < 3; i++) {
      port.send(ByteBuffer.allocate(EXCESSIVE_BYTES), receiver);
    }
    String lines = flushedLines();
    assertThat(lines).contains("event=send-failed peer=127.0.0.1 detail=");
    assertThat(lines.split("send-failed", -1)).hasLength(2);
  }

  private String flushedLines() {
    PrintStream originalOut = System.out;
    ByteArrayOutputStream captured = new ByteArrayOutputStream();
    System.setOut(new PrintStream(captured, true, StandardCharsets.UTF_8));
    try {
      log.flush();
    } finally {
      System.setOut(originalOut);
    }
    return captured.toString(StandardCharsets.UTF_8);
  }
}
