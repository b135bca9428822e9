package io.moorstage.core.settings;

import java.util.Set;

/**
 * The times and limits that forwarding decisions depend on, and the mechanisms in use.
 *
 * @param search the search for the target of an unknown flow
 * @param opening the opening of a new flow
 * @param requests requests that wait for a target
 * @param retention how long nodes keep flows and targets that are no longer in use
 * @param overload overload control
 * @param switchedOff mechanisms that are switched off for an experiment; empty in operation
 */
public record ForwardingPolicy(
    SearchSettings search,
    OpeningSettings opening,
    RequestSettings requests,
    RetentionSettings retention,
    OverloadSettings overload,
    Set<Mechanism> switchedOff) {

  /** Values for a deployment whose flows live up to a minute. */
  public static final ForwardingPolicy STANDARD =
      new ForwardingPolicy(
          SearchSettings.STANDARD,
          OpeningSettings.STANDARD,
          RequestSettings.STANDARD,
          RetentionSettings.STANDARD,
          OverloadSettings.OFF,
          Set.of());

  /** Creates a policy. */
  public ForwardingPolicy {
    switchedOff = Set.copyOf(switchedOff);
  }

  /** Returns whether a mechanism is switched on. */
  public boolean uses(Mechanism mechanism) {
    return !switchedOff.contains(mechanism);
  }

  /** Returns a copy of this policy in which exactly the given mechanisms are switched off. */
  public ForwardingPolicy without(Set<Mechanism> mechanisms) {
    return new ForwardingPolicy(search, opening, requests, retention, overload, mechanisms);
  }

  /** Returns a copy of this policy with other settings of overload control. */
  public ForwardingPolicy with(OverloadSettings newOverload) {
    return new ForwardingPolicy(search, opening, requests, retention, newOverload, switchedOff);
  }
}
