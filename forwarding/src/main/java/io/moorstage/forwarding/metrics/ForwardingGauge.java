package io.moorstage.forwarding.metrics;

import java.util.Locale;

/** The gauges of a forwarding daemon: its current values. */
public enum ForwardingGauge {
  FLOWS("Flows in this node's flow table."),
  REQUESTS("Agent: flows with a request in progress or waiting."),
  WAITING_OPENINGS("Agent: openings that wait for a place at the target."),
  WAITING_REQUESTS("Agent: requests on open flows that wait for a place at the target."),
  ADMITTED_RANK("Agent: highest rank at which an opening is admitted now; 65535 if each is."),
  BALANCERS("Balancers whose latest beacon is at most 3 s old."),
  STATE_REVISION("Revision of the source up to which this node has all changes."),
  STATE_ERA("Era of that revision: how often the source had been restored from an older copy."),
  CONFIGURATION_VERSION("Balancer: version of the configuration in use."),
  STATE_AGE_MS(
      "Balancer: milliseconds since the source last confirmed the state; -1 before the first time."),
  READERS_NOT_RELIED_ON(
      "Balancer: balancers of its zone that read the source and whose changes it did not receive in"
          + " time in the last 30 s."),
  READY_TARGETS("Balancer: targets that are listed as ready for new flows."),
  ADMISSION_LEVEL(
      "Balancer: lowest admission level of all services: new flows of a higher rank are reset; 65535"
          + " if all are admitted."),
  SERVICE_TIME_US(
      "Agent: mean time for which its target works on a request, in microseconds; 0 if not known."),
  SERVICE_TIME_SPREAD_PERCENT(
      "Balancer: mean service time of a service's slowest tenth of targets, in percent of that of"
          + " the fastest tenth; the largest of all services."),
  TICK_DELAY_MS(
      "Balancer: largest delay of its periodic task in the last 5 to 10 s, in milliseconds; it grows"
          + " when the process gets too little processor time."),
  UNUSABLE_ITEMS("Items of the source skipped so far because they could not be read."),
  ANSWERS_WITHOUT_ERA("Responses of the source so far without a readable era."),
  LINES_LEFT_OUT("Log lines dropped so far due to the limits per second or a full queue.");

  private final String meaning;

  ForwardingGauge(String meaning) {
    this.meaning = meaning;
  }

  /** Returns the name of the metric in the exposition. */
  String metricName() {
    return "moorstage_forwarding_" + name().toLowerCase(Locale.ROOT);
  }

  /** Returns one sentence that describes the value. */
  String meaning() {
    return meaning;
  }
}
