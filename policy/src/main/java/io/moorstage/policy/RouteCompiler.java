package io.moorstage.policy;

import io.moorstage.core.model.Endpoint;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.WeightedService;
import io.moorstage.policy.generated.PolicyParser.RouteContext;
import io.moorstage.policy.generated.PolicyParser.RouteFlowSettingContext;
import io.moorstage.policy.generated.PolicyParser.RouteItemContext;
import io.moorstage.policy.generated.PolicyParser.ShareContext;
import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.Token;

/** Compiles one route: an address whose new flows are split among services by weight. */
final class RouteCompiler {
  /**
   * The maximum weight of a service. The sum of the weights fits an int for as many services as a
   * policy text can contain.
   */
  static final int MAX_WEIGHT = 1_000;

  private final CompilationScope scope;
  private final FlowSettings flowSettings;
  private final UniqueValues<String> servicesOfRoute;
  private final List<WeightedService> shares = new ArrayList<>();

  RouteCompiler(CompilationScope scope) {
    this.scope = scope;
    this.flowSettings = new FlowSettings(scope);
    this.servicesOfRoute = new UniqueValues<>(PolicyFailure.DUPLICATE_NAME, scope.errors);
  }

  /** Compiles a route; all services must have been compiled before. */
  void compile(RouteContext route) {
    Token addressToken = route.ENDPOINT().getSymbol();
    Endpoint address = scope.claimAddress(addressToken);
    route.routeItem().forEach(this::compileItem);
    checkWeights(addressToken);
    scope.routes.add(
        new ForwardingRoute(
            address.ipv4(),
            address.port(),
            flowSettings.deadlineMs(),
            flowSettings.isRepeatable(),
            List.copyOf(shares)));
  }

  private void compileItem(RouteItemContext item) {
    if (item instanceof RouteFlowSettingContext) {
      flowSettings.read(((RouteFlowSettingContext) item).flowSetting());
    } else if (item instanceof ShareContext) {
      compileShare((ShareContext) item);
    } else {
      scope.reportUnsupported(item.getStart());
    }
  }

  private void compileShare(ShareContext share) {
    Token nameToken = share.NAME().getSymbol();
    String name = nameToken.getText();
    if (!scope.serviceNames.contains(name)) {
      scope.errors.add(
          nameToken,
          PolicyFailure.UNKNOWN_SERVICE,
          "no service '" + name + "' is declared",
          NearestName.find(name, scope.serviceNames.all()));
    }
    servicesOfRoute.claim(name, nameToken);
    scope.routedServices.add(name);
    int weight = scope.values.number(share.NUMBER().getSymbol(), 0, MAX_WEIGHT);
    shares.add(new WeightedService(name, weight));
  }

  private void checkWeights(Token addressToken) {
    if (shares.stream().allMatch(share -> share.weight() == 0)) {
      String detail = "no service of this route has a weight above 0";
      scope.errors.add(addressToken, PolicyFailure.NO_WEIGHT, detail);
    }
  }
}
