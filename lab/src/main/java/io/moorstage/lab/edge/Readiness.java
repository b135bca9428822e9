package io.moorstage.lab.edge;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;

/** The platform's readiness probe. */
public final class Readiness {
  private static final String PATH = "/-/readiness";

  /** Timeout of connecting and of reading, each as long as the router's probe interval. */
  private static final int CALL_TIMEOUT_MS = 500;

  private static final int OK = 200;

  private Readiness() {}

  /**
   * Probes a process once. A process that is unreachable, or whose connection or response times
   * out, is not ready.
   */
  public static boolean isReady(String host, int port) {
    try {
      URL url = new URL("http://" + host + ":" + port + PATH);
      HttpURLConnection connection = (HttpURLConnection) url.openConnection();
      connection.setConnectTimeout(CALL_TIMEOUT_MS);
      connection.setReadTimeout(CALL_TIMEOUT_MS);
      return connection.getResponseCode() == OK;
    } catch (IOException e) {
      // The router counts a failed probe as a miss.
      return false;
    }
  }
}
