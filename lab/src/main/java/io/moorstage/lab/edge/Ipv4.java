package io.moorstage.lab.edge;

/** Converts IPv4 addresses between numbers and dotted-decimal text. */
public final class Ipv4 {
  private static final int OCTET_MASK = 0xFF;

  private Ipv4() {}

  /** Returns an address in dotted-decimal form. */
  public static String text(int address) {
    return String.format(
        "%d.%d.%d.%d",
        address >>> 24 & OCTET_MASK,
        address >>> 16 & OCTET_MASK,
        address >>> 8 & OCTET_MASK,
        address & OCTET_MASK);
  }

  /**
   * Parses an address in dotted-decimal form.
   *
   * @param text a well-formed address; neither the number of octets nor their range is checked
   * @throws NumberFormatException if an octet is not a number
   */
  public static int number(String text) {
    int address = 0;
    for (String octet : text.split("\\.", -1)) {
      address = address << Byte.SIZE | Integer.parseInt(octet);
    }
    return address;
  }
}
