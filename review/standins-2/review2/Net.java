package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.DatagramChannel;
import java.util.concurrent.ThreadLocalRandom;

/** The loopback addresses and ports of one run. All machines use the same ports, as on the platform. */
final class Net {
  final String subnet;
  final int peer;
  final int state;
  final int ready;
  final int datagram;
  final int outbound;
  final int app;
  final int store;
  final int control;

  private Net(String subnet, int base) {
    this.subnet = subnet;
    peer = base;
    state = base + 1;
    ready = base + 2;
    datagram = base + 3;
    outbound = base + 4;
    app = base + 5;
    store = base + 6;
    control = base + 7;
  }

  /** Picks a subnet of the loopback network and ports that are free there. */
  static Net pick() throws IOException {
    for (int tries = 0; tries < 50; tries++) {
      ThreadLocalRandom random = ThreadLocalRandom.current();
      String subnet = "127." + random.nextInt(100, 200) + "." + random.nextInt(1, 250) + ".";
      Net net = new Net(subnet, random.nextInt(20_000, 30_000));
      if (net.isFree()) {
        return net;
      }
    }
    throw new IOException("no free ports");
  }

  private boolean isFree() {
    for (int port = peer; port <= control; port++) {
      try (ServerSocket tcp = new ServerSocket();
          DatagramChannel udp = DatagramChannel.open()) {
        tcp.bind(new InetSocketAddress(address(1), port));
        udp.bind(new InetSocketAddress(address(1), port));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  String address(int host) {
    return subnet + host;
  }

  static int number(String address) {
    int number = 0;
    for (String octet : address.split("\\.")) {
      number = number << 8 | Integer.parseInt(octet);
    }
    return number;
  }

  static InetSocketAddress socket(String address, int port) throws IOException {
    return new InetSocketAddress(InetAddress.getByName(address), port);
  }
}
