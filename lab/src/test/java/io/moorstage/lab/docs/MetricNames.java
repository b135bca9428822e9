package io.moorstage.lab.docs;

import io.moorstage.core.log.Decision;
import io.moorstage.forwarding.metrics.ForwardingCounter;
import io.moorstage.forwarding.metrics.ForwardingGauge;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** The names of all metrics, as the documentation pages write them. */
final class MetricNames {
  /** Prefix of each name in the output of the metrics endpoint. */
  static final String PREFIX = "moorstage_forwarding_";

  /** The counter of decisions; the pages name it with and without its label. */
  static final String DECISIONS = "decisions_total";

  private MetricNames() {}

  /** Returns all names without the prefix; the counter of decisions once per label value. */
  static Set<String> withoutPrefix() {
    Set<String> names = new HashSet<>();
    for (Decision decision : Decision.values()) {
      names.add(DECISIONS + "{decision=\"" + decision.logName() + "\"}");
    }
    for (ForwardingCounter counter : ForwardingCounter.values()) {
      names.add(counter.name().toLowerCase(Locale.ROOT) + "_total");
    }
    for (ForwardingGauge gauge : ForwardingGauge.values()) {
      names.add(gauge.name().toLowerCase(Locale.ROOT));
    }
    return names;
  }
}
