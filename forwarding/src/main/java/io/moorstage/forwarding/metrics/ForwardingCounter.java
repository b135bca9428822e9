package io.moorstage.forwarding.metrics;

import io.moorstage.core.error.Failure;
import java.util.Locale;

/** The counters of a forwarding daemon, in addition to those of its decisions. */
public enum ForwardingCounter {
  CLIENT_DATAGRAMS("Balancer: datagrams received from clients."),
  TARGET_DATAGRAMS("Agent: datagrams received from the target."),
  PEER_DATAGRAMS("Datagrams received from other nodes."),
  BAD_CLIENT_DATAGRAMS(
      "Balancer: datagrams from clients that are not a segment, due to a wrong length."),
  BAD_TARGET_DATAGRAMS("Agent: datagrams from the target that are not a segment."),
  BAD_PEER_DATAGRAMS(
      "Datagrams from other nodes that are malformed, or contain a malformed segment."),
  BEACONS("Beacons sent to other nodes."),
  BEACON_BYTES("Bytes of beacons sent to other nodes."),
  SOURCE_ANSWERS("Usable responses of the configuration source."),
  SOURCE_UNREACHABLE("Calls to the source that failed to connect or timed out."),
  SOURCE_REFUSED("Calls that the source rejected."),
  SOURCE_HISTORY_GONE("Calls for changes that the source no longer had in its history."),
  SOURCE_ERA_CHANGED(
      "Calls that found the source in a later era, after which the complete state was read again."),
  SOURCE_OUTDATED("Responses of the source from an earlier era than that of this node's state."),
  SOURCE_MALFORMED("Responses of the source that were truncated, malformed or too large."),
  PEER_STATES("States taken over from another node, as they were newer than this node's state."),
  OVERLOADED_OPENINGS(
      "Balancer: new flows reset because their service is overloaded; part of reset-no-target."),
  TARGET_CHECKS("Agent: connections opened to check whether the target's process runs.");

  private final String meaning;

  ForwardingCounter(String meaning) {
    this.meaning = meaning;
  }

  /** Returns the name of the metric in the exposition. */
  String metricName() {
    return "moorstage_forwarding_" + name().toLowerCase(Locale.ROOT) + "_total";
  }

  /** Returns one sentence that describes what is counted. */
  String meaning() {
    return meaning;
  }

  /**
   * Returns the counter of calls to the source that fail with a failure.
   *
   * @throws IllegalArgumentException if the failure is not one of the configuration source
   */
  public static ForwardingCounter ofFailure(Failure failure) {
    return valueOf("SOURCE_" + failure.code().toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
