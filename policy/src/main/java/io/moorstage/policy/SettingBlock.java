package io.moorstage.policy;

import java.util.EnumMap;
import java.util.Map;
import org.antlr.v4.runtime.Token;

/**
 * The settings of one block, each given at most once, with the places where they stand.
 *
 * @param <K> the settings that such a block may hold
 */
final class SettingBlock<K extends Enum<K>> {
  /** Stands for a value that was refused or is missing; the error has been collected already. */
  static final int INVALID = -1;

  private final Map<K, Integer> values;
  private final Map<K, Token> tokens;

  SettingBlock(Class<K> settings) {
    this.values = new EnumMap<>(settings);
    this.tokens = new EnumMap<>(settings);
  }

  /** Takes a setting's value, or collects an error if it has one already. */
  void put(K setting, Token token, int value, ErrorCollector errors) {
    if (tokens.putIfAbsent(setting, token) != null) {
      errors.add(token, PolicyFailure.DUPLICATE_SETTING, "'" + setting + "' is already set");
      return;
    }
    values.put(setting, value);
  }

  boolean has(K setting) {
    return values.containsKey(setting);
  }

  /** Returns where the setting stands; only for one that this block has. */
  Token token(K setting) {
    return tokens.get(setting);
  }

  /** Returns the setting's value here or in the defaults, or else the fallback. */
  int valueOr(K setting, SettingBlock<K> defaults, int fallback) {
    Integer own = values.get(setting);
    return own != null ? own : defaults.values.getOrDefault(setting, fallback);
  }

  /** Returns the setting's value here or in the defaults; collects an error if there is none. */
  int required(K setting, SettingBlock<K> defaults, Token owner, ErrorCollector errors) {
    if (!has(setting) && !defaults.has(setting)) {
      errors.add(
          owner,
          PolicyFailure.MISSING_SETTING,
          "'"
              + owner.getText()
              + "' requires '"
              + setting
              + "', in its own block or in 'default target'");
    }
    return valueOr(setting, defaults, INVALID);
  }
}
