package io.moorstage.lab.edge;

import java.net.URI;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A request to the store.
 *
 * @param watch whether the caller requests changes; otherwise it requests all items
 * @param afterRevision watch only: the caller has all changes up to this revision
 * @param waitMs watch only: how long the store may wait for a change, in milliseconds
 */
public record StoreCall(boolean watch, long afterRevision, long waitMs) {
  private static final Pattern AFTER = Pattern.compile("after=(\\d+)");
  private static final Pattern WAIT = Pattern.compile("wait_ms=(\\d+)");

  /** Parses a request from its URI; a missing number is 0. */
  public static StoreCall of(URI uri) {
    boolean watch = uri.getPath().endsWith("watch");
    String query = String.valueOf(uri.getRawQuery());
    return new StoreCall(watch, number(AFTER, query), number(WAIT, query));
  }

  private static long number(Pattern pattern, String query) {
    Matcher matcher = pattern.matcher(query);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }
}
