package review;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * The ports of a deployment, the same on all of its machines: a block of free ones.
 *
 * @param first the first of {@link #COUNT} ports
 */
record Ports(int first) {
  private static final int COUNT = 8;
  private static final int LOWEST = 21_000;
  private static final int HIGHEST = 29_000;

  /** Returns ports that are free on all loopback addresses. */
  static Ports free() throws IOException {
    int start = LOWEST + (int) (ProcessHandle.current().pid() * COUNT % (HIGHEST - LOWEST));
    for (int port = start; port < start + HIGHEST - LOWEST; port += COUNT) {
      if (areFree(port)) {
        return new Ports(port);
      }
    }
    throw new IOException("no free ports");
  }

  private static boolean areFree(int first) {
    for (int port = first; port < first + COUNT; port++) {
      InetSocketAddress any = new InetSocketAddress((InetAddress) null, port);
      try (ServerSocket tcp = new ServerSocket();
          DatagramSocket udp = new DatagramSocket(null)) {
        tcp.bind(any);
        udp.bind(any);
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  int datagram() {
    return first;
  }

  int ready() {
    return first + 1;
  }

  int control() {
    return first + 2;
  }

  int outbound() {
    return first + 3;
  }

  int app() {
    return first + 4;
  }

  int store() {
    return first + 5;
  }

  int internalFirst() {
    return first + 6;
  }

  int internalLast() {
    return first + 7;
  }
}
