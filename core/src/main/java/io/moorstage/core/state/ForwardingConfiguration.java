package io.moorstage.core.state;

import io.moorstage.core.flow.FlowId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import javax.annotation.Nullable;

/** An accepted configuration: routes, and the services with their cold start limits. Immutable. */
public final class ForwardingConfiguration {
  /** The value of {@link #servicesKnownSince} if not even this version's revision is known. */
  private static final long NOT_KNOWN = Long.MAX_VALUE;

  /** The empty configuration, of version 0, before any configuration is read. */
  public static final ForwardingConfiguration NONE =
      new ForwardingConfiguration(0, 0, List.of(), Map.of());

  private final long version;
  private final int idleTimeoutMs;
  private final List<ForwardingRoute> routes;
  private final Map<Long, ForwardingRoute> routesByKey;
  private final Set<String> services;
  private final Map<String, ColdStart> coldStartsByService;
  private final long servicesKnownSince;

  /**
   * Creates a configuration whose routes may have had other services.
   *
   * @param version the version, which increases with each accepted configuration; 0 for none
   * @param idleTimeoutMs how long a flow may be idle before it expires, in milliseconds
   * @param routes the routes; of two with the same address and port, the later one is used
   * @param coldStartsByService the services that the configuration names apart from its routes,
   *     each with its cold start limit or {@link ColdStart#UNLIMITED}
   */
  public ForwardingConfiguration(
      long version,
      int idleTimeoutMs,
      List<ForwardingRoute> routes,
      Map<String, ColdStart> coldStartsByService) {
    this(version, idleTimeoutMs, routes, coldStartsByService, NOT_KNOWN);
  }

  /**
   * Creates a configuration; see the other constructor.
   *
   * @param servicesKnownSince see {@link #servicesKnownSince()}
   */
  public ForwardingConfiguration(
      long version,
      int idleTimeoutMs,
      List<ForwardingRoute> routes,
      Map<String, ColdStart> coldStartsByService,
      long servicesKnownSince) {
    this.version = version;
    this.idleTimeoutMs = idleTimeoutMs;
    this.routes = List.copyOf(routes);
    this.coldStartsByService = Map.copyOf(coldStartsByService);
    this.servicesKnownSince = servicesKnownSince;
    this.routesByKey = new HashMap<>();
    this.services = new HashSet<>(coldStartsByService.keySet());
    for (ForwardingRoute route : routes) {
      routesByKey.put(route.key(), route);
      route.services().forEach(part -> services.add(part.service()));
    }
  }

  /** A service that a route has at weight 0, so that it gets no new flow but may hold open ones. */
  public record FormerService(long routeKey, String service) {}

  /**
   * Returns the newer of this configuration and another one, whose routes also keep the services
   * that they have in the older one, at weight 0. Two copies of one version differ only in such
   * former services.
   *
   * <p>The result does not depend on which of the two arrives first. A node that has just started
   * may read the newer one from the source before it gets a peer's older copy, and flows may have
   * been opened at services that only the older copy has.
   *
   * <p>Versions between the two may have been missed, so only of two copies of one version the one
   * with the longer known history counts.
   */
  public ForwardingConfiguration merge(ForwardingConfiguration other) {
    ForwardingConfiguration merged =
        other.version > version ? other.withFormerServices(this) : this.withFormerServices(other);
    return other.version == version
        ? merged.knownSince(Math.min(servicesKnownSince, other.servicesKnownSince))
        : merged;
  }

  /**
   * Returns this configuration merged with a version that the source has reported after it, when no
   * version in between was missed. So the known history of this one counts, too.
   */
  ForwardingConfiguration followedBy(ForwardingConfiguration next) {
    ForwardingConfiguration merged = merge(next);
    return version == 0
        ? merged
        : merged.knownSince(Math.min(servicesKnownSince, merged.servicesKnownSince));
  }

  private ForwardingConfiguration withFormerServices(ForwardingConfiguration other) {
    List<ForwardingRoute> merged = new ArrayList<>(routes.size());
    boolean isChanged = false;
    for (ForwardingRoute route : routes) {
      ForwardingRoute known = other.routesByKey.get(route.key());
      ForwardingRoute extended = known == null ? route : route.withFormerServices(known.services());
      isChanged |= extended != route;
      merged.add(extended);
    }
    return isChanged ? with(merged) : this;
  }

  /** Returns the services that routes have at weight 0. */
  public List<FormerService> formerServices() {
    List<FormerService> former = new ArrayList<>(0);
    for (ForwardingRoute route : routes) {
      for (WeightedService part : route.services()) {
        if (part.weight() == 0) {
          former.add(new FormerService(route.key(), part.service()));
        }
      }
    }
    return former;
  }

  /** Returns this configuration without expired services that routes have at weight 0. */
  public ForwardingConfiguration withoutFormerServices(Set<FormerService> expired) {
    List<ForwardingRoute> kept = new ArrayList<>(routes.size());
    for (ForwardingRoute route : routes) {
      kept.add(
          route.withoutFormerServices(
              service -> expired.contains(new FormerService(route.key(), service))));
    }
    return with(kept);
  }

  private ForwardingConfiguration with(List<ForwardingRoute> otherRoutes) {
    return new ForwardingConfiguration(
        version, idleTimeoutMs, otherRoutes, coldStartsByService, servicesKnownSince);
  }

  /**
   * Returns the source's {@link Revision} of the earliest version from which on all versions are
   * known, so that the routes have each service that one of them has, be it at weight 0. It is 0 if
   * that holds for each service at which a flow may be open.
   */
  public long servicesKnownSince() {
    return servicesKnownSince;
  }

  /** Returns whether a flow can only be open at a target of a service that its route has here. */
  public boolean hasAllFormerServices() {
    return servicesKnownSince == 0;
  }

  /** Returns this configuration as one that {@link #hasAllFormerServices() has all of them}. */
  public ForwardingConfiguration withAllFormerServices() {
    return knownSince(0);
  }

  private ForwardingConfiguration knownSince(long revision) {
    return servicesKnownSince == revision
        ? this
        : new ForwardingConfiguration(
            version, idleTimeoutMs, routes, coldStartsByService, revision);
  }

  /** Returns the version, or 0 if no configuration was read. */
  public long version() {
    return version;
  }

  /** Returns how long a flow may be idle before it expires, in milliseconds. */
  public int idleTimeoutMs() {
    return idleTimeoutMs;
  }

  public List<ForwardingRoute> routes() {
    return routes;
  }

  /** Returns whether this configuration names a service, be it one that a route has at weight 0. */
  public boolean names(String service) {
    return services.contains(service);
  }

  /** Returns the named services with their cold start limits; see the constructor. */
  public Map<String, ColdStart> coldStartsByService() {
    return coldStartsByService;
  }

  /** Returns the cold start limit of a service, or {@link ColdStart#UNLIMITED}. */
  public ColdStart coldStartOf(String service) {
    return coldStartsByService.getOrDefault(service, ColdStart.UNLIMITED);
  }

  /** Returns the route of a flow, or null if there is none. */
  @Nullable
  public ForwardingRoute routeOf(FlowId flow) {
    return routesByKey.get(flow.service());
  }
}
