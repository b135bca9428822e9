package io.moorstage.policy;

import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.policy.generated.PolicyParser.PolicyContext;
import io.moorstage.policy.generated.PolicyParser.RouteStatementContext;
import io.moorstage.policy.generated.PolicyParser.ServiceContext;
import io.moorstage.policy.generated.PolicyParser.ServiceStatementContext;
import io.moorstage.policy.generated.PolicyParser.StatementContext;
import io.moorstage.policy.generated.PolicyParser.UnsupportedStatementContext;
import io.moorstage.policy.generated.PolicyParser.ZonesContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;
import org.antlr.v4.runtime.tree.TerminalNode;

/**
 * Compiles a policy text to the forwarding configuration and its targets. The result depends on the
 * text only, not on node state, the clock or files.
 */
public final class PolicyCompiler {
  /** The maximum length of a policy text, in characters: 186 for each of 45,000 targets. */
  public static final int MAX_SOURCE_LENGTH = 8 * 1024 * 1024;

  /** The maximum length of the name of a zone, service or target, in characters. */
  public static final int MAX_NAME_LENGTH = 64;

  /**
   * A compiled policy is always the first configuration that its reader gets; version 0 stands for
   * no configuration.
   */
  private static final long FIRST_VERSION = 1;

  /** The idle time after which a flow may be evicted; equals the platform's default. */
  private static final int IDLE_TIMEOUT_MS = 60_000;

  private final CompilationScope scope = new CompilationScope();

  private PolicyCompiler() {}

  /**
   * Compiles a policy.
   *
   * @param text the policy
   * @return its zones, targets, and configuration with version 1
   * @throws PolicyException with all syntax errors, or if there are none, with all semantic errors;
   *     after 100 errors compilation stops and adds {@link PolicyFailure#TOO_MANY_ERRORS}
   */
  public static CompiledPolicy compile(String text) throws PolicyException {
    return compile(PolicySource.parse(text));
  }

  /**
   * Compiles a parsed policy.
   *
   * @param source the policy
   * @return its zones, targets, and configuration with version 1
   * @throws PolicyException with all semantic errors
   */
  public static CompiledPolicy compile(PolicySource source) throws PolicyException {
    return new PolicyCompiler().compile(source.tree());
  }

  private CompiledPolicy compile(PolicyContext tree) throws PolicyException {
    try {
      // A policy may use zones and services before it declares them, so all zones are declared
      // first, then services are compiled, then routes.
      tree.statement().forEach(this::declareZones);
      List<ServiceContext> services = compileServices(tree);
      tree.statement().forEach(this::compileRoute);
      services.forEach(this::checkReachable);
    } catch (ParseCancellationException e) {
      // The list of errors is full and is thrown below.
    }
    scope.errors.throwIfAny();
    ForwardingConfiguration configuration =
        new ForwardingConfiguration(FIRST_VERSION, IDLE_TIMEOUT_MS, scope.routes, Map.of());
    return new CompiledPolicy(List.copyOf(scope.zones.all()), configuration, scope.targets);
  }

  private void declareZones(StatementContext statement) {
    if (statement instanceof ZonesContext) {
      for (TerminalNode zone : ((ZonesContext) statement).NAME()) {
        scope.zones.claim(scope.values.name(zone.getSymbol()), zone.getSymbol());
      }
    }
  }

  private List<ServiceContext> compileServices(PolicyContext tree) {
    List<ServiceContext> services = new ArrayList<>();
    for (StatementContext statement : tree.statement()) {
      if (statement instanceof ServiceStatementContext) {
        services.add(((ServiceStatementContext) statement).service());
      }
    }
    if (services.isEmpty()) {
      String detail = "a policy must declare a service; without one, no request would be forwarded";
      scope.errors.add(1, 1, PolicyFailure.NO_SERVICES, detail, null);
    }
    services.forEach(service -> new ServiceCompiler(scope).compile(service));
    return services;
  }

  private void compileRoute(StatementContext statement) {
    if (statement instanceof RouteStatementContext) {
      new RouteCompiler(scope).compile(((RouteStatementContext) statement).route());
    } else if (statement instanceof UnsupportedStatementContext) {
      scope.reportUnsupported(statement.getStart());
    }
  }

  private void checkReachable(ServiceContext service) {
    Token name = service.NAME().getSymbol();
    if (service.ENDPOINT() == null && !scope.routedServices.contains(name.getText())) {
      String detail = "'" + name.getText() + "' has no address, and no route names it";
      scope.errors.add(name, PolicyFailure.UNREACHABLE_SERVICE, detail);
    }
  }
}
