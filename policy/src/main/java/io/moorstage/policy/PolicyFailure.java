package io.moorstage.policy;

import io.moorstage.core.error.Failure;
import java.util.Locale;

/** Reasons for which a policy is rejected. */
public enum PolicyFailure implements Failure {
  /** The text is longer than {@link PolicyCompiler#MAX_SOURCE_LENGTH}. */
  SOURCE_TOO_LARGE,
  /** A token is not allowed by the grammar at its position. */
  SYNTAX,
  /** The policy has further errors, which are not listed. */
  TOO_MANY_ERRORS,
  /** No service is declared; with such a policy no request would be forwarded. */
  NO_SERVICES,
  /** A number is outside the range that its setting allows. */
  OUT_OF_RANGE,
  /** An address is not unicast, has an octet above 255, or a port outside 1 to 65535. */
  INVALID_ADDRESS,
  /** A name is longer than {@link PolicyCompiler#MAX_NAME_LENGTH}. */
  NAME_TOO_LONG,
  /** Two zones, services or targets have the same name, or a route names a service twice. */
  DUPLICATE_NAME,
  /** Two services or routes have the same address and port. */
  ADDRESS_CLAIMED_TWICE,
  /** A setting is given twice in one block, or a service's default target twice. */
  DUPLICATE_SETTING,
  /**
   * A target setting is given neither in the target's block nor in the service's default target.
   */
  MISSING_SETTING,
  /** A zone is used but not declared. */
  UNKNOWN_ZONE,
  /** A route names a service that is not declared. */
  UNKNOWN_SERVICE,
  /** A service has no address and is not in any route, so clients cannot reach it. */
  UNREACHABLE_SERVICE,
  /** A service without an address has a setting that applies to the flows to an address. */
  SETTING_WITHOUT_ADDRESS,
  /** A service has no target. */
  NO_TARGETS,
  /** No service of a route has a weight above 0, so new flows would have no destination. */
  NO_WEIGHT,
  /** A target has more slots than connections, so some slots could never be used. */
  SLOTS_EXCEED_CONNECTIONS,
  /** A statement is not supported by forwarding; the error names it. */
  UNSUPPORTED_STATEMENT;

  @Override
  public String code() {
    return "policy-" + name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
