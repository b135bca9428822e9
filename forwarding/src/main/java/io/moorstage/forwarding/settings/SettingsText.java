package io.moorstage.forwarding.settings;

import io.moorstage.core.model.Endpoint;
import io.moorstage.core.settings.Mechanism;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Parses settings from lines of the form {@code key: value}, the flat subset of YAML. Empty lines
 * and lines that begin with {@code #} are ignored. Problems are collected, so that all of them are
 * reported at once.
 */
final class SettingsText {
  private static final int MAX_PORT = 65_535;
  private static final int MAX_OCTET = 255;
  private static final int OCTETS = 4;
  private static final int OCTET_BITS = 8;

  private final Map<String, String> values = new HashMap<>();
  private final List<SettingsProblem> problems = new ArrayList<>();

  SettingsText(String text) {
    int lineNumber = 0;
    for (String line : text.split("\n", -1)) {
      lineNumber++;
      String trimmed = line.trim();
      if (!trimmed.isEmpty() && trimmed.charAt(0) != '#') {
        readLine(trimmed, lineNumber);
      }
    }
  }

  private void readLine(String line, int lineNumber) {
    int colon = line.indexOf(':');
    if (colon <= 0) {
      add(
          SettingsProblem.Kind.MALFORMED_LINE,
          "",
          "line " + lineNumber + " is not of the form key: value");
      return;
    }
    String key = line.substring(0, colon).trim();
    if (values.put(key, line.substring(colon + 1).trim()) != null) {
      add(SettingsProblem.Kind.DUPLICATE_KEY, key, "is set more than once");
    }
  }

  private void add(SettingsProblem.Kind kind, String key, String detail) {
    problems.add(new SettingsProblem(kind, key, detail));
  }

  List<SettingsProblem> problems() {
    return problems;
  }

  String text(String key) {
    String value = values.get(key);
    if (value == null || value.isEmpty()) {
      add(SettingsProblem.Kind.MISSING, key, "required setting is missing");
      return "";
    }
    return value;
  }

  int address(String key) {
    OptionalInt address = parseAddress(text(key));
    return address.isEmpty() ? badValue(key, "is not an IPv4 address", 0) : address.getAsInt();
  }

  int port(String key) {
    OptionalInt port = parsePort(text(key));
    return port.isEmpty()
        ? badValue(key, "is not a port number from 1 to 65535", 0)
        : port.getAsInt();
  }

  Endpoint endpoint(String key) {
    Optional<Endpoint> endpoint = parseEndpoint(text(key));
    return endpoint.isEmpty()
        ? badValue(key, "is not an IPv4 address with a port", Endpoint.of(0, 0))
        : endpoint.get();
  }

  /** Returns whether a setting is {@code on}; it may be missing or empty, which means off. */
  boolean flag(String key) {
    String value = values.getOrDefault(key, "");
    if (!value.isEmpty() && !value.equals("on") && !value.equals("off")) {
      add(SettingsProblem.Kind.BAD_VALUE, key, "is neither on nor off");
    }
    return value.equals("on");
  }

  /** Returns a comma-separated list of endpoints; the setting may be missing or empty. */
  List<Endpoint> endpoints(String key) {
    List<Endpoint> endpoints = new ArrayList<>();
    String value = values.getOrDefault(key, "");
    for (String item : value.split(",", -1)) {
      if (item.isBlank()) {
        continue;
      }
      Optional<Endpoint> endpoint = parseEndpoint(item.trim());
      if (endpoint.isEmpty()) {
        add(
            SettingsProblem.Kind.BAD_VALUE,
            key,
            "contains an item that is not an IPv4 address with a port");
      } else {
        endpoints.add(endpoint.get());
      }
    }
    return endpoints;
  }

  /** Returns a comma-separated list of mechanisms; the setting may be missing or empty. */
  Set<Mechanism> mechanisms(String key) {
    Set<Mechanism> mechanisms = new HashSet<>();
    for (String item : values.getOrDefault(key, "").split(",", -1)) {
      if (item.isBlank()) {
        continue;
      }
      Mechanism mechanism = Mechanism.ofCode(item.trim());
      if (mechanism == null) {
        add(SettingsProblem.Kind.BAD_VALUE, key, "unknown mechanism: " + item.trim());
      } else {
        mechanisms.add(mechanism);
      }
    }
    return mechanisms;
  }

  // A missing value has been recorded before. The placeholder is never used, since settings with a
  // problem are rejected as a whole.
  private <T> T badValue(String key, String detail, T placeholder) {
    String value = values.get(key);
    if (value != null && !value.isEmpty()) {
      add(SettingsProblem.Kind.BAD_VALUE, key, detail);
    }
    return placeholder;
  }

  private static Optional<Endpoint> parseEndpoint(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      return Optional.empty();
    }
    OptionalInt address = parseAddress(text.substring(0, colon));
    OptionalInt port = parsePort(text.substring(colon + 1));
    return address.isEmpty() || port.isEmpty()
        ? Optional.empty()
        : Optional.of(Endpoint.of(address.getAsInt(), port.getAsInt()));
  }

  private static OptionalInt parsePort(String text) {
    return parseNumber(text, 1, MAX_PORT);
  }

  private static OptionalInt parseAddress(String text) {
    int address = 0;
    int octets = 0;
    for (String part : text.split("\\.", -1)) {
      OptionalInt octet = parseNumber(part, 0, MAX_OCTET);
      if (octet.isEmpty()) {
        return octet;
      }
      address = address << OCTET_BITS | octet.getAsInt();
      octets++;
    }
    return octets == OCTETS ? OptionalInt.of(address) : OptionalInt.empty();
  }

  /** Returns a number from min to max, inclusive, or empty if the text is not such a number. */
  private static OptionalInt parseNumber(String text, int min, int max) {
    try {
      int number = Integer.parseInt(text);
      return number < min || number > max ? OptionalInt.empty() : OptionalInt.of(number);
    } catch (NumberFormatException e) {
      return OptionalInt.empty();
    }
  }
}
