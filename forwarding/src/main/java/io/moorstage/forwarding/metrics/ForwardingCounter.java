package io.moorstage.forwarding.metrics;

import io.moorstage.core.error.Failure;
import java.util.Locale;

/** What a forwarding daemon counts beside its decisions. */
public enum ForwardingCounter {
  CLIENT_DATAGRAMS("Datagrams that clients have sent to a balancer."),
  TARGET_DATAGRAMS("Datagrams that the target has sent to its agent."),
  PEER_DATAGRAMS("Datagrams that other nodes have sent."),
  BAD_CLIENT_DATAGRAMS("Clients' datagrams that are no segment: too short, or of a wrong length."),
  BAD_TARGET_DATAGRAMS("The target's datagrams that are no segment."),
  BAD_PEER_DATAGRAMS("Other nodes' datagrams that are no message, or carry no segment."),
  BEACONS("Beacons sent to other nodes."),
  BEACON_BYTES("Bytes of beacons sent to other nodes."),
  SOURCE_ANSWERS("Usable answers of the configuration source."),
  SOURCE_UNREACHABLE("Calls to the source without a connection, or without an answer in time."),
  SOURCE_REFUSED("Calls that the source has refused."),
  SOURCE_HISTORY_GONE("Calls to which the source no longer knew the changes asked for."),
  SOURCE_ERA_CHANGED("Calls after which all was read anew, as the source had entered another era."),
  SOURCE_OUTDATED("Answers of the source that were of an earlier era than this node's state."),
  SOURCE_MALFORMED("Answers of the source that were cut off, malformed or too large."),
  PEER_STATES("States taken from another node, since it knew more than this one."),
  TARGET_CHECKS("Agent: connections opened to find out whether the target's process runs.");

  private final String meaning;

  ForwardingCounter(String meaning) {
    this.meaning = meaning;
  }

  /** Returns the name in the exposition. */
  String metricName() {
    return "moorstage_forwarding_" + name().toLowerCase(Locale.ROOT) + "_total";
  }

  /** Returns what is counted, one sentence. */
  String meaning() {
    return meaning;
  }

  /** Returns the counter of a failed call to the source. */
  public static ForwardingCounter ofFailure(Failure failure) {
    return valueOf("SOURCE_" + failure.code().toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
