package io.moorstage.policy;

import io.moorstage.core.state.ForwardingConfiguration;
import java.util.List;

/**
 * The result of compiling a policy. Zones and targets are in the order of the text.
 *
 * @param zones names of the declared zones
 * @param configuration the routes in the form that balancers use
 * @param targets the targets of all services
 */
public record CompiledPolicy(
    List<String> zones, ForwardingConfiguration configuration, List<PolicyTarget> targets) {

  /** Creates a compiled policy from copies of the lists. */
  public CompiledPolicy {
    zones = List.copyOf(zones);
    targets = List.copyOf(targets);
  }
}
