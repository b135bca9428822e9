package io.moorstage.policy;

import io.moorstage.core.model.Endpoint;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.WeightedService;
import io.moorstage.policy.generated.PolicyParser.DefaultTargetContext;
import io.moorstage.policy.generated.PolicyParser.ServiceContext;
import io.moorstage.policy.generated.PolicyParser.ServiceFlowSettingContext;
import io.moorstage.policy.generated.PolicyParser.ServiceItemContext;
import io.moorstage.policy.generated.PolicyParser.TargetContext;
import io.moorstage.policy.generated.PolicyParser.UnsupportedServiceItemContext;
import java.util.List;
import org.antlr.v4.runtime.Token;

/** Compiles one service: its targets, and its route if the service has an address of its own. */
final class ServiceCompiler {
  /** The weight of the only service of a route. */
  private static final int SOLE_SERVICE_WEIGHT = 1;

  private final CompilationScope scope;
  private final FlowSettings flowSettings;
  private final TargetCompiler targetCompiler;

  ServiceCompiler(CompilationScope scope) {
    this.scope = scope;
    this.flowSettings = new FlowSettings(scope);
    this.targetCompiler = new TargetCompiler(scope);
  }

  void compile(ServiceContext service) {
    Token nameToken = service.NAME().getSymbol();
    String name = scope.values.name(nameToken);
    scope.serviceNames.claim(name, nameToken);
    if (service.UNSUPPORTED() != null) {
      scope.reportUnsupported(service.UNSUPPORTED().getSymbol());
    }
    // Settings apply to the whole service wherever they stand, so they are read before the targets.
    service.serviceItem().forEach(this::readSetting);
    compileTargets(service, nameToken);
    if (service.ENDPOINT() == null) {
      flowSettings.reportSettingsWithoutAddress(name);
    } else {
      compileRoute(name, service.ENDPOINT().getSymbol());
    }
  }

  private void readSetting(ServiceItemContext item) {
    if (item instanceof ServiceFlowSettingContext) {
      flowSettings.read(((ServiceFlowSettingContext) item).flowSetting());
    } else if (item instanceof DefaultTargetContext) {
      targetCompiler.setDefaults((DefaultTargetContext) item);
    } else if (item instanceof UnsupportedServiceItemContext) {
      scope.reportUnsupported(item.getStart());
    }
  }

  private void compileTargets(ServiceContext service, Token nameToken) {
    boolean hasTarget = false;
    for (ServiceItemContext item : service.serviceItem()) {
      if (item instanceof TargetContext) {
        targetCompiler.compile((TargetContext) item, nameToken.getText());
        hasTarget = true;
      }
    }
    if (!hasTarget) {
      String detail = "'" + nameToken.getText() + "' has no target";
      scope.errors.add(nameToken, PolicyFailure.NO_TARGETS, detail);
    }
  }

  private void compileRoute(String name, Token addressToken) {
    Endpoint address = scope.claimAddress(addressToken);
    scope.routes.add(
        new ForwardingRoute(
            address.ipv4(),
            address.port(),
            flowSettings.deadlineMs(),
            flowSettings.isRepeatable(),
            List.of(new WeightedService(name, SOLE_SERVICE_WEIGHT))));
  }
}
