package io.moorstage.core.state;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.SchedulingTerms;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import javax.annotation.Nullable;

/**
 * The route of new flows to one service address and port.
 *
 * @param address IPv4 address that clients send to
 * @param port port that clients send to
 * @param timeoutMs how long a request of the route may take, in milliseconds; 0 if unknown
 * @param repeatable whether requests of the route may be sent more than once
 * @param objectiveMs latency objective of requests of the route, in milliseconds from the first
 *     attempt; 0 if unknown
 * @param priority priority of the route's requests; 0 is the highest, {@link
 *     SchedulingTerms#LOWEST_PRIORITY} the lowest
 * @param services the services that share the route's new flows, at least one, and former ones at
 *     weight 0, whose targets may still hold flows
 */
public record ForwardingRoute(
    int address,
    int port,
    int timeoutMs,
    boolean repeatable,
    int objectiveMs,
    int priority,
    List<WeightedService> services) {

  /** Creates a route without a latency objective, with the lowest priority. */
  public ForwardingRoute(
      int address, int port, int timeoutMs, boolean repeatable, List<WeightedService> services) {
    this(address, port, timeoutMs, repeatable, 0, SchedulingTerms.LOWEST_PRIORITY, services);
  }

  /** Returns whether a service gets new flows of the route, or got some before. */
  public boolean hasService(String service) {
    for (WeightedService part : services) {
      if (part.service().equals(service)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns this route with the services that only another copy of it has, at weight 0. A flow that
   * was opened at such a service stays there until it ends.
   */
  ForwardingRoute withFormerServices(List<WeightedService> others) {
    List<WeightedService> former = new ArrayList<>(0);
    for (WeightedService other : others) {
      if (!hasService(other.service())) {
        former.add(new WeightedService(other.service(), 0));
      }
    }
    if (former.isEmpty()) {
      return this;
    }
    List<WeightedService> all = new ArrayList<>(former.size() + services.size());
    all.addAll(servicesWithEffectiveWeight());
    all.addAll(former);
    return with(all);
  }

  // The only service of a route gets all new flows, even at weight 0. It gets weight 1 here so that
  // it still does beside former services.
  private List<WeightedService> servicesWithEffectiveWeight() {
    WeightedService only = services.get(0);
    boolean isOnlyAndWeightless = services.size() == 1 && only.weight() == 0;
    return isOnlyAndWeightless ? List.of(new WeightedService(only.service(), 1)) : services;
  }

  /**
   * Returns this route without expired services of weight 0. A route whose services all have weight
   * 0 stays unchanged.
   */
  ForwardingRoute withoutFormerServices(Predicate<String> isExpired) {
    List<WeightedService> kept = new ArrayList<>(services.size());
    boolean hasWeight = false;
    for (WeightedService part : services) {
      hasWeight |= part.weight() > 0;
      if (part.weight() > 0 || !isExpired.test(part.service())) {
        kept.add(part);
      }
    }
    return hasWeight ? with(kept) : this;
  }

  private ForwardingRoute with(List<WeightedService> otherServices) {
    return new ForwardingRoute(
        address, port, timeoutMs, repeatable, objectiveMs, priority, otherServices);
  }

  /** Returns the key of this route, which equals {@link FlowId#service} of its flows. */
  public long key() {
    return FlowId.pack(address, port);
  }

  /**
   * Returns the service of a new flow. Flows are distributed in proportion to the weights, and all
   * nodes with the same route return the same service.
   *
   * @return the service's name, or null if the route has several services, all of weight 0
   */
  @Nullable
  public String serviceOf(FlowId flow) {
    if (services.size() == 1) {
      return services.get(0).service();
    }
    int total = 0;
    for (WeightedService part : services) {
      total += part.weight();
    }
    if (total == 0) {
      return null;
    }
    // The hash is mixed, so the remainder is uniform with a bias below 2^-32 for a total that fits
    // an int.
    long point = Long.remainderUnsigned(flow.hash(), total);
    for (WeightedService part : services) {
      point -= part.weight();
      if (point < 0) {
        return part.service();
      }
    }
    return null;
  }
}
