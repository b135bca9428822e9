package io.moorstage.policy;

import io.moorstage.policy.generated.PolicyLexer;
import io.moorstage.policy.generated.PolicyParser.ClassContext;
import io.moorstage.policy.generated.PolicyParser.DeadlineContext;
import io.moorstage.policy.generated.PolicyParser.FlowSettingContext;
import org.antlr.v4.runtime.Token;

/** Reads the settings for the flows to one address: the deadline and class of their requests. */
final class FlowSettings {
  /** One hour; a longer deadline is more likely a wrong unit than an intended time. */
  static final int MAX_DEADLINE_MS = 3_600_000;

  private static final int AT_MOST_ONCE = 0;
  private static final int REPEATABLE = 1;

  /** The value by which {@code ForwardingRoute} represents an unknown timeout. */
  private static final int UNKNOWN_DEADLINE_MS = 0;

  private final CompilationScope scope;
  private final SettingBlock<FlowSetting> settings = new SettingBlock<>(FlowSetting.class);

  FlowSettings(CompilationScope scope) {
    this.scope = scope;
  }

  void read(FlowSettingContext setting) {
    if (setting instanceof ClassContext) {
      Token word = ((ClassContext) setting).requestClass().getStart();
      settings.put(FlowSetting.CLASS, word, classOf(word), scope.errors);
    } else {
      Token time = ((DeadlineContext) setting).DURATION().getSymbol();
      int deadlineMs = scope.values.millis(time, 1, MAX_DEADLINE_MS);
      settings.put(FlowSetting.DEADLINE, time, deadlineMs, scope.errors);
    }
  }

  /** Returns the maximum duration of a request, in milliseconds; 0 if the policy sets none. */
  int deadlineMs() {
    return settings.valueOr(FlowSetting.DEADLINE, settings, UNKNOWN_DEADLINE_MS);
  }

  /**
   * Returns whether requests may be repeated. The default is false, which is safe for requests that
   * must run at most once.
   */
  boolean isRepeatable() {
    return settings.valueOr(FlowSetting.CLASS, settings, AT_MOST_ONCE) == REPEATABLE;
  }

  /** Collects an error for each setting of a service without an address to apply it to. */
  void reportSettingsWithoutAddress(String service) {
    for (FlowSetting setting : FlowSetting.values()) {
      if (settings.has(setting)) {
        String detail =
            "'" + service + "' has no address; set '" + setting + "' in the routes that name it";
        scope.errors.add(settings.token(setting), PolicyFailure.SETTING_WITHOUT_ADDRESS, detail);
      }
    }
  }

  private int classOf(Token word) {
    if (word.getType() == PolicyLexer.UNSUPPORTED) {
      scope.reportUnsupported(word);
      return SettingBlock.INVALID;
    }
    return word.getType() == PolicyLexer.REPEATABLE ? REPEATABLE : AT_MOST_ONCE;
  }
}
