package io.moorstage.forwarding.net;

import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentHashMap;

/** Socket addresses on one port by IPv4 address, so that sending makes no new objects. */
public final class AddressCache {
  /**
   * The most addresses that are kept. Not measured; chosen above the 6,600 nodes of the largest
   * fleet (docs/CAPACITY.md), so that only forged senders fill it.
   */
  private static final int MAX_ENTRIES = 65_536;

  private final int port;
  private final ConcurrentHashMap<Integer, InetSocketAddress> addresses = new ConcurrentHashMap<>();

  /** Creates a cache for addresses at one port. */
  public AddressCache(int port) {
    this.port = port;
  }

  /** Returns the socket address of an IPv4 address, its first octet in the highest bits. */
  public InetSocketAddress get(int address) {
    InetSocketAddress known = addresses.get(address);
    if (known != null) {
      return known;
    }
    if (addresses.size() >= MAX_ENTRIES) {
      addresses.clear();
    }
    InetSocketAddress made = UdpPort.socketAddress(address, port);
    addresses.put(address, made);
    return made;
  }
}
