package io.moorstage.policy;

import io.moorstage.core.model.Endpoint;
import io.moorstage.core.state.ForwardingRoute;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.antlr.v4.runtime.Token;

/**
 * State shared by the compilers of one policy's statements: the errors, the names and addresses in
 * use, and the routes and targets compiled so far.
 */
final class CompilationScope {
  /** Stands for an invalid address; its error has been collected, so compilation fails. */
  private static final Endpoint PLACEHOLDER_ADDRESS = Endpoint.of(0, 0);

  final ErrorCollector errors = new ErrorCollector();
  final ValueReader values = new ValueReader(errors);
  final UniqueValues<String> zones = new UniqueValues<>(PolicyFailure.DUPLICATE_NAME, errors);
  final UniqueValues<String> serviceNames =
      new UniqueValues<>(PolicyFailure.DUPLICATE_NAME, errors);
  final UniqueValues<String> targetNames = new UniqueValues<>(PolicyFailure.DUPLICATE_NAME, errors);
  final UniqueValues<Endpoint> addresses =
      new UniqueValues<>(PolicyFailure.ADDRESS_CLAIMED_TWICE, errors);

  /** Names of the services in route statements, including undeclared ones. */
  final Set<String> routedServices = new HashSet<>();

  final List<ForwardingRoute> routes = new ArrayList<>();
  final List<PolicyTarget> targets = new ArrayList<>();

  /**
   * Claims the address of a service or route; collects an error if it is invalid or already used.
   *
   * @return the address, or a placeholder if it is invalid
   */
  Endpoint claimAddress(Token token) {
    Endpoint address = values.endpoint(token);
    if (address == null) {
      return PLACEHOLDER_ADDRESS;
    }
    addresses.claim(address, token);
    return address;
  }

  /** Collects an error for a statement that parses but is not supported by forwarding. */
  void reportUnsupported(Token statement) {
    reportUnsupported(statement, statement.getText());
  }

  /** Collects an error that names an unsupported statement by the given name. */
  void reportUnsupported(Token statement, String name) {
    String detail = "'" + name + "' is not supported by layer-4 forwarding";
    errors.add(statement, PolicyFailure.UNSUPPORTED_STATEMENT, detail);
  }
}
