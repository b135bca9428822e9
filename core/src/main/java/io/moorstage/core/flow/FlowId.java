package io.moorstage.core.flow;

import io.moorstage.core.model.Endpoint;

/**
 * The identity of a flow: the endpoints of the client and of the service that it connects to.
 *
 * @param clientAddress IPv4 address of the client, first octet in the highest bits
 * @param clientPort port of the client, 0 to 65535
 * @param serviceAddress IPv4 address of the service
 * @param servicePort port of the service, 0 to 65535
 */
public record FlowId(int clientAddress, int clientPort, int serviceAddress, int servicePort) {
  private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final int PORT_BITS = 16;
  private static final int INT_BITS = 32;
  private static final long INT_MASK = 0xFFFFFFFFL;

  /** Returns the client's address and port, packed into 48 bits. */
  public long client() {
    return pack(clientAddress, clientPort);
  }

  /** Returns the service's address and port, packed into 48 bits; the key of a route. */
  public long service() {
    return pack(serviceAddress, servicePort);
  }

  /** Packs an address and a port into 48 bits, the address in the upper 32. */
  public static long pack(int address, int port) {
    return (address & INT_MASK) << PORT_BITS | port;
  }

  /** Returns a well-distributed hash that is the same on all nodes. */
  public long hash() {
    return mix(mix(client()) ^ service());
  }

  /** Mixes the bits of a number so that each bit of the input affects all bits of the result. */
  public static long mix(long value) {
    long mixed = (value ^ value >>> INT_BITS) * MULTIPLIER;
    mixed = (mixed ^ mixed >>> INT_BITS) * MULTIPLIER;
    return mixed ^ mixed >>> INT_BITS;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof FlowId that
        && that.clientAddress == clientAddress
        && that.clientPort == clientPort
        && that.serviceAddress == serviceAddress
        && that.servicePort == servicePort;
  }

  @Override
  public int hashCode() {
    return (int) hash();
  }

  /** Returns the form used in logs: the client's endpoint, {@code >}, the service's endpoint. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(Endpoint.of(clientAddress, clientPort).toString());
    return text.append('>').append(Endpoint.of(serviceAddress, servicePort)).toString();
  }
}
