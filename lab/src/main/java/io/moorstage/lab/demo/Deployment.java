package io.moorstage.lab.demo;

import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.WeightedService;
import io.moorstage.policy.CompiledPolicy;
import io.moorstage.policy.PolicyTarget;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The part of a policy that a demonstration starts, small enough for one machine that also runs the
 * load.
 *
 * @param zones the two zones, each with one balancer
 * @param configuration all routes of the policy
 * @param loadedRoutes the routes whose services all have a target here; clients send load to them
 * @param targets the first target of each service in each zone, each with one agent
 * @param drainTarget the target that is drained; another target has the same service
 */
record Deployment(
    List<String> zones,
    ForwardingConfiguration configuration,
    List<ForwardingRoute> loadedRoutes,
    List<PolicyTarget> targets,
    PolicyTarget drainTarget) {
  private static final int ZONES = 2;

  /**
   * Selects the first two zones of a policy and the first target of each service in each of them.
   *
   * @throws DeploymentException if there are fewer zones, or no service of a loaded route has two
   *     such targets
   */
  static Deployment of(CompiledPolicy policy) throws DeploymentException {
    if (policy.zones().size() < ZONES) {
      throw new DeploymentException("two zones, one for each balancer");
    }
    List<String> zones = policy.zones().subList(0, ZONES);
    List<PolicyTarget> targets = firstTargets(policy.targets(), zones);
    List<ForwardingRoute> routes = servedRoutes(policy.configuration().routes(), targets);
    PolicyTarget drainTarget = findDrainTarget(targets, routes);
    return new Deployment(zones, policy.configuration(), routes, targets, drainTarget);
  }

  private static List<PolicyTarget> firstTargets(List<PolicyTarget> all, List<String> zones) {
    List<PolicyTarget> first = new ArrayList<>();
    Set<List<String>> seenServiceZones = new HashSet<>();
    for (PolicyTarget target : all) {
      boolean isFirst = seenServiceZones.add(List.of(target.service(), target.zone()));
      if (isFirst && zones.contains(target.zone())) {
        first.add(target);
      }
    }
    return List.copyOf(first);
  }

  private static List<ForwardingRoute> servedRoutes(
      List<ForwardingRoute> routes, List<PolicyTarget> targets) {
    Set<String> services = new HashSet<>();
    targets.forEach(target -> services.add(target.service()));
    List<ForwardingRoute> served = new ArrayList<>();
    for (ForwardingRoute route : routes) {
      if (route.services().stream().map(WeightedService::service).allMatch(services::contains)) {
        served.add(route);
      }
    }
    return List.copyOf(served);
  }

  private static PolicyTarget findDrainTarget(
      List<PolicyTarget> targets, List<ForwardingRoute> routes) throws DeploymentException {
    for (PolicyTarget target : targets) {
      boolean hasLoad = routes.stream().anyMatch(route -> route.hasService(target.service()));
      if (hasLoad && countOf(target.service(), targets) > 1) {
        return target;
      }
    }
    throw new DeploymentException("a service with a route and targets in the first two zones");
  }

  private static long countOf(String service, List<PolicyTarget> targets) {
    return targets.stream().filter(target -> target.service().equals(service)).count();
  }
}
