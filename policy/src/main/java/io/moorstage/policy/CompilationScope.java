package io.moorstage.policy;

import io.moorstage.core.model.Endpoint;
import io.moorstage.core.state.ForwardingRoute;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.antlr.v4.runtime.Token;

/** What the parts of one policy share: the names and addresses taken, and what is compiled yet. */
final class CompilationScope {
  private static final Endpoint PLACEHOLDER_ADDRESS = Endpoint.of(0, 0);

  final ErrorCollector errors = new ErrorCollector();
  final ValueReader values = new ValueReader(errors);
  final UniqueValues<String> zones = new UniqueValues<>(PolicyFailure.DUPLICATE_NAME, errors);
  final UniqueValues<String> serviceNames =
      new UniqueValues<>(PolicyFailure.DUPLICATE_NAME, errors);
  final UniqueValues<String> targetNames = new UniqueValues<>(PolicyFailure.DUPLICATE_NAME, errors);
  final UniqueValues<Endpoint> addresses =
      new UniqueValues<>(PolicyFailure.ADDRESS_CLAIMED_TWICE, errors);

  /** Services that share the flows of a route statement. */
  final Set<String> routedServices = new HashSet<>();

  final List<ForwardingRoute> routes = new ArrayList<>();
  final List<PolicyTarget> targets = new ArrayList<>();

  /** Claims an address for clients; collects an error if it is taken or not usable. */
  Endpoint claimAddress(Token token) {
    Endpoint address = values.endpoint(token);
    if (address == null) {
      return PLACEHOLDER_ADDRESS;
    }
    addresses.claim(address, token);
    return address;
  }

  /** Collects an error for a statement that is known, and that forwarding does not carry out. */
  void reportUnsupported(Token statement) {
    reportUnsupported(statement, statement.getText());
  }

  /** Collects an error for a statement of a given name that forwarding does not carry out. */
  void reportUnsupported(Token statement, String name) {
    String detail = "'" + name + "' is not supported by layer-4 forwarding";
    errors.add(statement, PolicyFailure.UNSUPPORTED_STATEMENT, detail);
  }
}
