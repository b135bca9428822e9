package io.moorstage.forwarding.metrics;

import java.util.Locale;

/** What a forwarding daemon holds at a moment. */
public enum ForwardingGauge {
  FLOWS("Flows that this node remembers."),
  REQUESTS("Agent: flows with a request in progress or waiting."),
  BALANCERS("Balancers heard from within 3 s."),
  STATE_REVISION("Revision of the source up to which this node knows all."),
  STATE_ERA("Era of that revision: how often the source had come back from an older copy."),
  CONFIGURATION_VERSION("Balancer: version of the configuration that it acts on."),
  STATE_AGE_MS("Balancer: milliseconds since the source confirmed the state; -1 if it never did."),
  READY_TARGETS("Balancer: targets that take new flows."),
  UNUSABLE_ITEMS("Balancer: items of the source left out so far, since they could not be read."),
  ANSWERS_WITHOUT_ERA("Answers of the source so far that named no era, or none that can be read."),
  LINES_LEFT_OUT("Log lines left out so far, beyond the budget of their second.");

  private final String meaning;

  ForwardingGauge(String meaning) {
    this.meaning = meaning;
  }

  /** Returns the name in the exposition. */
  String metricName() {
    return "moorstage_forwarding_" + name().toLowerCase(Locale.ROOT);
  }

  /** Returns what it shows, one sentence. */
  String meaning() {
    return meaning;
  }
}
