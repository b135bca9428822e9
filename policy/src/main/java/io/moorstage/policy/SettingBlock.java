package io.moorstage.policy;

import java.util.EnumMap;
import java.util.Map;
import org.antlr.v4.runtime.Token;

/**
 * The settings of one block, each allowed once, with the tokens that set them.
 *
 * @param <K> the settings that are allowed in the block
 */
final class SettingBlock<K extends Enum<K>> {
  /** Stands for a value that is invalid or missing; its error has been collected. */
  static final int INVALID = -1;

  private final Map<K, Integer> values;
  private final Map<K, Token> tokens;

  SettingBlock(Class<K> settings) {
    this.values = new EnumMap<>(settings);
    this.tokens = new EnumMap<>(settings);
  }

  /** Sets a setting's value, or collects an error if the setting already has one. */
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

  /** Returns the token that set a setting; the block must have the setting. */
  Token token(K setting) {
    return tokens.get(setting);
  }

  /** Returns the setting's value in this block, else in the defaults, else the fallback. */
  int valueOr(K setting, SettingBlock<K> defaults, int fallback) {
    Integer own = values.get(setting);
    return own != null ? own : defaults.values.getOrDefault(setting, fallback);
  }

  /**
   * Returns the setting's value in this block, else in the defaults; collects an error and returns
   * {@link #INVALID} if neither has one.
   */
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
