package io.moorstage.core.flow;

import java.nio.ByteBuffer;

/** Copies datagrams that must outlive the receive buffer, which is reused for the next one. */
public final class Datagrams {
  private Datagrams() {}

  /** Returns a copy of a buffer's remaining bytes; the buffer's position does not change. */
  public static byte[] copyOf(ByteBuffer datagram) {
    byte[] copy = new byte[datagram.remaining()];
    datagram.get(datagram.position(), copy);
    return copy;
  }
}
