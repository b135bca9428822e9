package io.moorstage.core.model;

/** An IPv4 address and port. IPv6 is not supported. */
public final class Endpoint implements Comparable<Endpoint> {
  private static final int OCTET_BITS = 8;
  private static final int OCTET_MASK = 0xFF;

  private final int ipv4;
  private final int port;

  private Endpoint(int ipv4, int port) {
    this.ipv4 = ipv4;
    this.port = port;
  }

  /**
   * Creates an endpoint.
   *
   * @param ipv4 the address in network byte order, first octet in the highest bits
   * @param port the port, 0 to 65535
   */
  public static Endpoint of(int ipv4, int port) {
    return new Endpoint(ipv4, port);
  }

  /** Returns the address in network byte order, first octet in the highest bits. */
  public int ipv4() {
    return ipv4;
  }

  /** Returns the port, 0 to 65535. */
  public int port() {
    return port;
  }

  /** Returns the address in dotted notation. */
  public String host() {
    return octet(3) + "." + octet(2) + "." + octet(1) + "." + octet(0);
  }

  private int octet(int index) {
    return (ipv4 >>> (index * OCTET_BITS)) & OCTET_MASK;
  }

  @Override
  public int compareTo(Endpoint other) {
    int byAddress = Integer.compareUnsigned(ipv4, other.ipv4);
    return byAddress != 0 ? byAddress : Integer.compare(port, other.port);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Endpoint
        && ((Endpoint) other).ipv4 == ipv4
        && ((Endpoint) other).port == port;
  }

  @Override
  public int hashCode() {
    return ipv4 * 31 + port;
  }

  @Override
  public String toString() {
    return host() + ":" + port;
  }
}
