package io.moorstage.forwarding;

import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentHashMap;

/** Socket addresses on one port by IPv4 address, so that sending makes no new objects. */
final class AddressCache {
  private static final int MAX_ENTRIES = 65_536;

  private final int port;
  private final ConcurrentHashMap<Integer, InetSocketAddress> addresses = new ConcurrentHashMap<>();

  AddressCache(int port) {
    this.port = port;
  }

  InetSocketAddress get(int address) {
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
