package io.moorstage.policy;

import io.moorstage.core.model.Endpoint;
import javax.annotation.Nullable;
import org.antlr.v4.runtime.Token;

/** Reads numbers, durations, addresses and names from tokens and reports invalid ones. */
final class ValueReader {
  private static final int MAX_DIGITS = 10;
  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int MILLIS_PER_MINUTE = 60_000;
  private static final int MAX_OCTET = 255;
  private static final int FIRST_MULTICAST_OCTET = 224;
  private static final int MAX_PORT = 65_535;
  private static final int OCTET_COUNT = 4;
  private static final int OCTET_BITS = 8;

  private final ErrorCollector errors;

  ValueReader(ErrorCollector errors) {
    this.errors = errors;
  }

  /**
   * Returns the number that a token starts with; collects an error and returns {@link
   * SettingBlock#INVALID} if it is out of range.
   */
  int number(Token token, int min, int max) {
    long value = leadingNumber(token.getText());
    if (value < min || value > max) {
      return reportOutOfRange(token, "from " + min + " to " + max);
    }
    return (int) value;
  }

  /**
   * Returns a duration in milliseconds; collects an error and returns {@link SettingBlock#INVALID}
   * if it is out of range, which is also given in milliseconds.
   */
  int millis(Token token, int min, int max) {
    long value = leadingNumber(token.getText()) * unitMillis(token.getText());
    if (value < min || value > max) {
      return reportOutOfRange(token, "from " + min + "ms to " + max + "ms");
    }
    return (int) value;
  }

  /** Returns the address of a service or route; collects an error and returns null if invalid. */
  @Nullable
  Endpoint endpoint(Token token) {
    String[] hostAndPort = token.getText().split(":");
    String[] octets = hostAndPort[0].split("\\.");
    int ipv4 = 0;
    boolean valid = octets.length == OCTET_COUNT;
    for (String octet : octets) {
      long value = leadingNumber(octet);
      valid &= value <= MAX_OCTET;
      ipv4 = (ipv4 << OCTET_BITS) | (int) (value & MAX_OCTET);
    }
    long firstOctet = leadingNumber(octets[0]);
    long port = leadingNumber(hostAndPort[1]);
    valid &= firstOctet >= 1 && firstOctet < FIRST_MULTICAST_OCTET && port >= 1 && port <= MAX_PORT;
    if (!valid) {
      String detail =
          token.getText() + " is not a unicast IPv4 address with a port from 1 to 65535";
      errors.add(token, PolicyFailure.INVALID_ADDRESS, detail);
      return null;
    }
    return Endpoint.of(ipv4, (int) port);
  }

  /** Returns the text of a name; collects an error if it is too long. */
  String name(Token token) {
    if (token.getText().length() > PolicyCompiler.MAX_NAME_LENGTH) {
      String detail = "a name may have at most " + PolicyCompiler.MAX_NAME_LENGTH + " characters";
      errors.add(token, PolicyFailure.NAME_TOO_LONG, detail);
    }
    return token.getText();
  }

  private int reportOutOfRange(Token token, String range) {
    errors.add(
        token, PolicyFailure.OUT_OF_RANGE, token.getText() + " is out of range; must be " + range);
    return SettingBlock.INVALID;
  }

  /**
   * Returns the number at the start of a text. For more than {@link #MAX_DIGITS} digits, returns a
   * value above every range, so that no number overflows.
   */
  private static long leadingNumber(String text) {
    int end = 0;
    while (end < text.length() && Character.digit(text.charAt(end), 10) >= 0) {
      end++;
    }
    String digits = text.substring(0, end).replaceFirst("^0+(?=.)", "");
    return digits.length() > MAX_DIGITS ? Integer.MAX_VALUE + 1L : Long.parseLong(digits);
  }

  private static int unitMillis(String duration) {
    if (duration.endsWith("ms")) {
      return 1;
    }
    return duration.endsWith("m") ? MILLIS_PER_MINUTE : MILLIS_PER_SECOND;
  }
}
