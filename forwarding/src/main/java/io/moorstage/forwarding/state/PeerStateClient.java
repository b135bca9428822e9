package io.moorstage.forwarding.state;

import io.moorstage.core.model.Endpoint;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URL;

/** Reads the state of a peer over HTTP. */
public final class PeerStateClient {
  public static final String PATH = "/state";

  /**
   * The time-out for connecting to a peer, and for each read of its response, in milliseconds. Two
   * peers can be queried within the 1.5 s in which a balancer that has just started uses unlisted
   * agents.
   */
  private static final int TIMEOUT_MS = 700;

  /** The maximum size of a state, in bytes; 45,000 targets take about 5 MB at 100 bytes each. */
  private static final int MAX_BYTES = 64 << 20;

  private static final int OK = 200;

  private final int statePort;

  public PeerStateClient(int statePort) {
    this.statePort = statePort;
  }

  /**
   * Returns the encoded complete state of a peer, or its encoded changes since the state that the
   * query names.
   *
   * @param address IPv4 address of the peer
   * @throws StateSourceException if the peer cannot be reached in time or returns an error status
   */
  byte[] read(int address, PeerStateQuery query) throws StateSourceException {
    Endpoint peer = Endpoint.of(address, statePort);
    try {
      HttpURLConnection connection =
          (HttpURLConnection) new URL("http://" + peer + PATH + "?" + query).openConnection();
      connection.setConnectTimeout(TIMEOUT_MS);
      connection.setReadTimeout(TIMEOUT_MS);
      if (connection.getResponseCode() != OK) {
        connection.disconnect();
        throw new StateSourceException(
            StateSourceFailure.REFUSED, peer + " returned an error status instead of its state");
      }
      try (InputStream in = connection.getInputStream()) {
        return in.readNBytes(MAX_BYTES);
      }
    } catch (IOException e) {
      throw new StateSourceException(
          StateSourceFailure.UNREACHABLE, peer + " did not return its state", e);
    }
  }
}
