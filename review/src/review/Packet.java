package review;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * One packet of a flow as PROTOCOL.md lays it out: a big-endian header of 32 bytes, then data.
 *
 * @param flags the bits SYN, ACK, FIN, RST and BOUNCED
 * @param sequence number of the first byte of data
 * @param ack number of the next byte that the sender expects; in an opening, the number of the copy
 * @param source address and port of the end that wrote the packet
 * @param destination address and port of the other end
 * @param data text after the header
 */
record Packet(int flags, int sequence, int ack, End source, End destination, String data) {
  static final int SYN = 64;
  static final int ACK = 16;
  static final int FIN = 1;
  static final int RST = 8;
  static final int BOUNCED = 32;
  static final int MAX_BYTES = 2_048;

  private static final int HEADER_BYTES = 32;
  private static final int SUM_OFFSET = 2;
  private static final int LENGTH_OFFSET = 10;
  private static final int SEQUENCE_OFFSET = 12;
  private static final int ACK_OFFSET = 16;
  private static final int DESTINATION_OFFSET = 20;
  private static final int SOURCE_PORT_OFFSET = 24;
  private static final int DESTINATION_PORT_OFFSET = 26;
  private static final int SOURCE_OFFSET = 28;

  /** The key of the sums, which only clients and targets know. */
  private static final byte[] SUM_KEY = "review".getBytes(StandardCharsets.US_ASCII);

  /** An end of a flow. */
  record End(int address, int port) {
    static End of(String address, int port) {
      int number = 0;
      for (String octet : address.split("\\.")) {
        number = number << 8 | Integer.parseInt(octet);
      }
      return new End(number, port);
    }
  }

  boolean has(int flag) {
    return (flags & flag) != 0;
  }

  boolean isOpening() {
    return has(SYN) && !has(ACK);
  }

  /** Returns the bytes of this packet with their sum. */
  ByteBuffer encode() {
    byte[] bytes = data.getBytes(StandardCharsets.US_ASCII);
    ByteBuffer packet = ByteBuffer.allocate(HEADER_BYTES + bytes.length);
    packet.put(0, (byte) flags);
    packet.putShort(LENGTH_OFFSET, (short) bytes.length);
    packet.putInt(SEQUENCE_OFFSET, sequence);
    packet.putInt(ACK_OFFSET, ack);
    packet.putInt(DESTINATION_OFFSET, destination.address());
    packet.putShort(SOURCE_PORT_OFFSET, (short) source.port());
    packet.putShort(DESTINATION_PORT_OFFSET, (short) destination.port());
    packet.putInt(SOURCE_OFFSET, source.address());
    packet.put(HEADER_BYTES, bytes);
    packet.putInt(SUM_OFFSET, sumOf(packet));
    return packet;
  }

  static Packet decode(ByteBuffer packet) {
    byte[] bytes = new byte[packet.remaining() - HEADER_BYTES];
    packet.get(HEADER_BYTES, bytes);
    return new Packet(
        packet.get(0) & 0xFF,
        packet.getInt(SEQUENCE_OFFSET),
        packet.getInt(ACK_OFFSET),
        new End(packet.getInt(SOURCE_OFFSET), packet.getShort(SOURCE_PORT_OFFSET) & 0xFFFF),
        new End(
            packet.getInt(DESTINATION_OFFSET), packet.getShort(DESTINATION_PORT_OFFSET) & 0xFFFF),
        new String(bytes, StandardCharsets.US_ASCII));
  }

  /** Returns whether the packet is as its writer sent it, but for the fields without a sum. */
  static boolean isUnchanged(ByteBuffer packet) {
    return packet.getInt(SUM_OFFSET) == sumOf(packet);
  }

  /** Returns a copy of a client's packet that a target sends back, with BOUNCED set. */
  static ByteBuffer bounced(ByteBuffer packet) {
    ByteBuffer copy = ByteBuffer.allocate(packet.remaining()).put(packet.duplicate()).flip();
    copy.put(0, (byte) (copy.get(0) | BOUNCED));
    copy.put(1, (byte) 0);
    return copy;
  }

  private static int sumOf(ByteBuffer packet) {
    byte[] bytes = new byte[packet.remaining()];
    packet.duplicate().get(bytes);
    bytes[0] &= (byte) ~BOUNCED;
    bytes[1] = 0;
    for (int i = SUM_OFFSET; i < LENGTH_OFFSET; i++) {
      bytes[i] = 0; // sum and echo
    }
    CRC32 sum = new CRC32();
    sum.update(SUM_KEY);
    sum.update(bytes);
    return (int) sum.getValue();
  }
}
