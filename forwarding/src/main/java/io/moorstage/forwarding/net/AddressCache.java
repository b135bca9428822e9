package io.moorstage.forwarding.net;

import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A cache of socket addresses on one port by IPv4 address. It saves the allocation of an address
 * for each datagram that is sent. Thread-safe.
 */
public final class AddressCache {
  /**
   * Maximum number of entries; the cache is cleared when it is full. Above the 6,600 nodes of the
   * largest fleet (docs/CAPACITY.md), so that only forged sender addresses fill it.
   */
  private static final int MAX_ENTRIES = 65_536;

  private final int port;
  private final ConcurrentHashMap<Integer, InetSocketAddress> addresses = new ConcurrentHashMap<>();

  /** Creates an empty cache of addresses at one port. */
  public AddressCache(int port) {
    this.port = port;
  }

  /** Returns the socket address of an IPv4 address, its first octet in the highest bits. */
  public InetSocketAddress get(int address) {
    InetSocketAddress cached = addresses.get(address);
    if (cached != null) {
      return cached;
    }
    if (addresses.size() >= MAX_ENTRIES) {
      addresses.clear();
    }
    InetSocketAddress created = UdpPort.socketAddress(address, port);
    addresses.put(address, created);
    return created;
  }
}
