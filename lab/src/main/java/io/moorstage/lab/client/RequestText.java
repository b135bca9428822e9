package io.moorstage.lab.client;

import java.util.Optional;

/**
 * The texts of requests and responses: a request contains its number, a response that number and
 * the target's id.
 */
public final class RequestText {
  private static final String NOT_RUN = " not-run";

  private RequestText() {}

  /**
   * A parsed response.
   *
   * @param request number of the request
   * @param targetId id of the target that has run or rejected the request
   * @param hasRun whether the target has run the request
   */
  public record Response(long request, String targetId, boolean hasRun) {}

  /** Returns a request's text; all have the same length, by which a flow's sequence advances. */
  static String request(long number) {
    return String.format("%10d", number);
  }

  /** Parses the number of a request. */
  public static long numberOf(String request) {
    return Long.parseLong(request.trim());
  }

  /** Returns the text of a response. */
  public static String response(long number, String targetId) {
    return number + " " + targetId;
  }

  /** Returns the text of the response of a target that has not run the request. */
  public static String rejection(long number, String targetId) {
    return response(number, targetId) + NOT_RUN;
  }

  /** Parses a response; empty if the text is malformed. */
  static Optional<Response> parseResponse(String text) {
    boolean hasRun = !text.endsWith(NOT_RUN);
    String[] parts = (hasRun ? text : text.replace(NOT_RUN, "")).split(" ", -1);
    if (parts.length != 2 || !parts[0].matches("\\d{1,18}")) {
      return Optional.empty();
    }
    return Optional.of(new Response(Long.parseLong(parts[0]), parts[1], hasRun));
  }
}
