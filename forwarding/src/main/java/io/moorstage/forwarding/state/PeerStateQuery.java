package io.moorstage.forwarding.state;

import javax.annotation.Nullable;

/**
 * The query of a request for a peer's state. Names what the requesting node has, so that the peer
 * can return just the changes.
 *
 * @param revision the revision up to which the requesting node's state is complete, 0 if it has
 *     none
 * @param version the version of the requesting node's configuration, 0 if it has none
 */
public record PeerStateQuery(long revision, long version) {
  /** Requests the complete state. */
  public static final PeerStateQuery COMPLETE_STATE = new PeerStateQuery(0, 0);

  private static final String REVISION = "revision=";
  private static final String VERSION = "version=";

  /** Parses the query of a request URL; one that is malformed requests the complete state. */
  public static PeerStateQuery parse(@Nullable String text) {
    if (text == null) {
      return COMPLETE_STATE;
    }
    long revision = 0;
    long version = 0;
    try {
      for (String part : text.split("&", -1)) {
        if (part.startsWith(REVISION)) {
          revision = Long.parseLong(part.substring(REVISION.length()));
        } else if (part.startsWith(VERSION)) {
          version = Long.parseLong(part.substring(VERSION.length()));
        }
      }
    } catch (NumberFormatException e) {
      return COMPLETE_STATE;
    }
    return new PeerStateQuery(revision, version);
  }

  /** Returns the text for the query of a request URL. */
  @Override
  public String toString() {
    return new StringBuilder(REVISION)
        .append(revision)
        .append('&')
        .append(VERSION)
        .append(version)
        .toString();
  }
}
