package io.moorstage.policy;

import io.moorstage.policy.generated.PolicyParser.ConnectionsContext;
import io.moorstage.policy.generated.PolicyParser.DefaultTargetContext;
import io.moorstage.policy.generated.PolicyParser.SlotsContext;
import io.moorstage.policy.generated.PolicyParser.TargetBodyContext;
import io.moorstage.policy.generated.PolicyParser.TargetContext;
import io.moorstage.policy.generated.PolicyParser.TargetSettingContext;
import io.moorstage.policy.generated.PolicyParser.TargetWeightContext;
import io.moorstage.policy.generated.PolicyParser.ZoneContext;
import org.antlr.v4.runtime.Token;

/** Compiles the targets of one service. */
final class TargetCompiler {
  private static final int MAX_SLOTS = 100_000;
  private static final int MAX_CONNECTIONS = 10_000_000;

  private final CompilationScope scope;
  private SettingBlock<TargetSetting> defaults = new SettingBlock<>(TargetSetting.class);
  private String defaultZone = "";
  private boolean hasDefaults;

  TargetCompiler(CompilationScope scope) {
    this.scope = scope;
  }

  void setDefaults(DefaultTargetContext statement) {
    if (hasDefaults) {
      String detail = "'default target' is already set";
      scope.errors.add(statement.getStart(), PolicyFailure.DUPLICATE_SETTING, detail);
    }
    hasDefaults = true;
    defaults = read(statement.targetBody());
    defaultZone = zoneName(defaults, "");
  }

  /** Compiles a target; the service's default target must have been read before. */
  void compile(TargetContext target, String service) {
    Token nameToken = target.NAME().getSymbol();
    String name = scope.values.name(nameToken);
    scope.targetNames.claim(name, nameToken);
    if (target.UNSUPPORTED() != null) {
      scope.reportUnsupported(target.UNSUPPORTED().getSymbol());
    }
    SettingBlock<TargetSetting> own = read(target.targetBody());
    own.required(TargetSetting.ZONE, defaults, nameToken, scope.errors);
    int slotCount = own.required(TargetSetting.SLOTS, defaults, nameToken, scope.errors);
    int connectionLimit =
        own.required(TargetSetting.CONNECTIONS, defaults, nameToken, scope.errors);
    if (connectionLimit != SettingBlock.INVALID && slotCount > connectionLimit) {
      String counts = slotCount + " slots but only " + connectionLimit + " connections";
      String detail = "'" + name + "' has " + counts;
      scope.errors.add(nameToken, PolicyFailure.SLOTS_EXCEED_CONNECTIONS, detail);
    }
    String zone = zoneName(own, defaultZone);
    scope.targets.add(new PolicyTarget(name, service, zone, slotCount, connectionLimit));
  }

  private SettingBlock<TargetSetting> read(TargetBodyContext body) {
    SettingBlock<TargetSetting> block = new SettingBlock<>(TargetSetting.class);
    for (TargetSettingContext setting : body.targetSetting()) {
      read(setting, block);
    }
    return block;
  }

  private void read(TargetSettingContext setting, SettingBlock<TargetSetting> block) {
    if (setting instanceof ZoneContext) {
      Token zone = ((ZoneContext) setting).NAME().getSymbol();
      checkZone(zone);
      block.put(TargetSetting.ZONE, zone, 0, scope.errors);
    } else if (setting instanceof SlotsContext) {
      Token number = ((SlotsContext) setting).NUMBER().getSymbol();
      int slotCount = scope.values.number(number, 1, MAX_SLOTS);
      block.put(TargetSetting.SLOTS, number, slotCount, scope.errors);
    } else if (setting instanceof ConnectionsContext) {
      Token number = ((ConnectionsContext) setting).NUMBER().getSymbol();
      int connectionLimit = scope.values.number(number, 1, MAX_CONNECTIONS);
      block.put(TargetSetting.CONNECTIONS, number, connectionLimit, scope.errors);
    } else {
      scope.reportUnsupported(setting.getStart(), nameOf(setting));
    }
  }

  private static String nameOf(TargetSettingContext unsupported) {
    String word = unsupported.getStart().getText();
    // Says "target" because a weight is supported for a service of a route, but not for a target.
    return unsupported instanceof TargetWeightContext ? "target " + word : word;
  }

  private void checkZone(Token zone) {
    if (!scope.zones.contains(zone.getText())) {
      scope.errors.add(
          zone,
          PolicyFailure.UNKNOWN_ZONE,
          "no zone '" + zone.getText() + "' is declared",
          NearestName.find(zone.getText(), scope.zones.all()));
    }
  }

  private static String zoneName(SettingBlock<TargetSetting> block, String fallback) {
    boolean has = block.has(TargetSetting.ZONE);
    return has ? block.token(TargetSetting.ZONE).getText() : fallback;
  }
}
