package io.moorstage.policy;

import io.moorstage.core.model.Endpoint;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.WeightedService;
import java.util.ArrayList;
import java.util.List;

/** Prints the entire content of a compiled policy as lines, so that tests can compare policies. */
final class CompiledText {
  private CompiledText() {}

  static String print(CompiledPolicy policy) {
    return String.join("\n", lines(policy)) + "\n";
  }

  static List<String> lines(CompiledPolicy policy) {
    ForwardingConfiguration configuration = policy.configuration();
    List<String> lines = new ArrayList<>();
    lines.add("version " + configuration.version());
    lines.add("idle timeout " + configuration.idleTimeoutMs() + " ms");
    lines.add("cold starts " + configuration.coldStartsByService());
    policy.zones().forEach(zone -> lines.add("zone " + zone));
    configuration.routes().forEach(route -> lines.add(line(route)));
    policy.targets().forEach(target -> lines.add(line(target)));
    return lines;
  }

  private static String line(ForwardingRoute route) {
    StringBuilder line = new StringBuilder("route ");
    line.append(Endpoint.of(route.address(), route.port()));
    line.append(" timeout ").append(route.timeoutMs()).append(" ms");
    line.append(route.repeatable() ? " repeatable" : " at most once");
    for (WeightedService share : route.services()) {
      line.append(' ').append(share.service()).append('=').append(share.weight());
    }
    return line.toString();
  }

  private static String line(PolicyTarget target) {
    StringBuilder line = new StringBuilder("target ");
    line.append(target.service()).append('/').append(target.name());
    line.append(" in ").append(target.zone());
    line.append(" slots ").append(target.slotCount());
    line.append(" connections ").append(target.connectionLimit());
    return line.toString();
  }
}
