package io.moorstage.policy;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.antlr.v4.runtime.Token;

/**
 * Names or addresses, each of which may be claimed once.
 *
 * @param <T> the type of the claimed values
 */
final class UniqueValues<T> {
  private final Map<T, Token> claims = new LinkedHashMap<>();
  private final PolicyFailure failure;
  private final ErrorCollector errors;

  UniqueValues(PolicyFailure failure, ErrorCollector errors) {
    this.failure = failure;
    this.errors = errors;
  }

  /** Claims a value, or collects an error with the line of the earlier claim. */
  void claim(T value, Token token) {
    Token earlier = claims.putIfAbsent(value, token);
    if (earlier != null) {
      errors.add(token, failure, value + " is already used on line " + earlier.getLine());
    }
  }

  boolean contains(T value) {
    return claims.containsKey(value);
  }

  Collection<T> all() {
    return Collections.unmodifiableSet(claims.keySet());
  }
}
