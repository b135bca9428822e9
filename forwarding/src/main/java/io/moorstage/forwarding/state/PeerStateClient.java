package io.moorstage.forwarding.state;

import io.moorstage.core.model.Endpoint;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URL;

/** Reads the state of another node. */
public final class PeerStateClient {
  public static final String PATH = "/state";

  /**
   * How long a peer may take to accept a connection, and between two parts of its answer, in
   * milliseconds. Not measured; chosen so that two peers can be asked within the second and a half
   * in which a balancer that has just started uses unlisted agents.
   */
  private static final int TIMEOUT_MS = 700;

  /** The largest state, in bytes; 45,000 targets take some 5 MB at 100 bytes each. */
  private static final int MAX_BYTES = 64 << 20;

  private static final int OK = 200;

  private final int statePort;

  public PeerStateClient(int statePort) {
    this.statePort = statePort;
  }

  /** Returns the encoded state of a node, or what has changed in it since a known one. */
  byte[] read(int address, PeerStateQuery known) throws StateSourceException {
    Endpoint peer = Endpoint.of(address, statePort);
    try {
      HttpURLConnection connection =
          (HttpURLConnection) new URL("http://" + peer + PATH + "?" + known).openConnection();
      connection.setConnectTimeout(TIMEOUT_MS);
      connection.setReadTimeout(TIMEOUT_MS);
      if (connection.getResponseCode() != OK) {
        connection.disconnect();
        throw new StateSourceException(StateSourceFailure.REFUSED, peer + " has no state");
      }
      try (InputStream in = connection.getInputStream()) {
        return in.readNBytes(MAX_BYTES);
      }
    } catch (IOException e) {
      throw new StateSourceException(StateSourceFailure.UNREACHABLE, peer + " gives no state", e);
    }
  }
}
