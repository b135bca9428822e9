package io.moorstage.lab.edge;

import io.moorstage.core.flow.FlowId;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Encodes and decodes the packets of clients and targets: a big-endian header of 32 bytes, followed
 * by data.
 */
public final class Packets {
  /** Length of the header in bytes. */
  public static final int HEADER_BYTES = 32;

  /**
   * Size of a receive buffer in bytes. It holds the longest expected datagram, which is a header
   * and 1,200 bytes of data, with room to spare.
   */
  public static final int BUFFER_BYTES = 2_048;

  /** Sequence number of a client's opening packet. */
  public static final int CLIENT_SEQUENCE = 500;

  private static final int SYN = 64;
  private static final int ACK = 16;
  private static final int RST = 8;
  private static final int BOUNCED = 32;

  private static final int FLAGS_OFFSET = 0;
  private static final int PAD_OFFSET = 1;
  private static final int CHECKSUM_OFFSET = 2;
  private static final int ECHO_OFFSET = 6;
  private static final int LENGTH_OFFSET = 10;
  private static final int SEQUENCE_OFFSET = 12;
  private static final int ACK_OFFSET = 16;
  private static final int DESTINATION_OFFSET = 20;
  private static final int SOURCE_PORT_OFFSET = 24;
  private static final int DESTINATION_PORT_OFFSET = 26;
  private static final int SOURCE_OFFSET = 28;
  private static final int SHORT_MASK = 0xFFFF;

  /** Placeholder for the checksum; only the two ends of a flow have the key that verifies it. */
  private static final int CHECKSUM = 0x51515151;

  private Packets() {}

  /**
   * An endpoint of a flow.
   *
   * @param address IPv4 address
   * @param port its port
   */
  public record End(int address, int port) {}

  private static ByteBuffer packet(
      int flags, End from, End to, int sequence, int ack, String data) {
    byte[] bytes = data.getBytes(StandardCharsets.US_ASCII);
    ByteBuffer packet = ByteBuffer.allocate(HEADER_BYTES + bytes.length);
    packet.put(FLAGS_OFFSET, (byte) flags);
    packet.putInt(CHECKSUM_OFFSET, CHECKSUM);
    packet.putShort(LENGTH_OFFSET, (short) bytes.length);
    packet.putInt(SEQUENCE_OFFSET, sequence);
    packet.putInt(ACK_OFFSET, ack);
    packet.putInt(DESTINATION_OFFSET, to.address());
    packet.putShort(SOURCE_PORT_OFFSET, (short) from.port());
    packet.putShort(DESTINATION_PORT_OFFSET, (short) to.port());
    packet.putInt(SOURCE_OFFSET, from.address());
    packet.put(HEADER_BYTES, bytes);
    return packet;
  }

  /**
   * Returns a client's opening packet.
   *
   * @param copy number of the transmission; 0 for the first one, then the number of the retry
   */
  public static ByteBuffer open(End client, End service, int copy) {
    return packet(SYN, client, service, CLIENT_SEQUENCE, copy, "");
  }

  /** Returns a client's packet with data. */
  public static ByteBuffer data(End client, End service, int sequence, int ack, String data) {
    return packet(ACK, client, service, sequence, ack, data);
  }

  /** Returns a target's acceptance of an opening packet. */
  public static ByteBuffer accepted(ByteBuffer open, int sequence) {
    return reply(open, SYN | ACK, sequence, sequence(open) + 1, "");
  }

  /** Returns a target's response to a packet with data. */
  public static ByteBuffer response(ByteBuffer data, int sequence, String text) {
    return reply(data, ACK, sequence, sequence(data) + data.getShort(LENGTH_OFFSET), text);
  }

  private static ByteBuffer reply(
      ByteBuffer packet, int flags, int sequence, int ack, String data) {
    End from = new End(destination(packet), destinationPort(packet));
    End to = new End(packet.getInt(SOURCE_OFFSET), sourcePort(packet));
    return packet(flags, from, to, sequence, ack, data);
  }

  /** Returns a copy of a packet's bytes. */
  public static ByteBuffer copyOf(ByteBuffer packet) {
    return ByteBuffer.allocate(packet.remaining()).put(packet.duplicate()).flip();
  }

  /** Returns a copy of a packet, marked as returned by a target that does not hold its flow. */
  public static ByteBuffer returned(ByteBuffer packet) {
    ByteBuffer copy = copyOf(packet);
    return copy.put(FLAGS_OFFSET, (byte) (copy.get(FLAGS_OFFSET) | BOUNCED));
  }

  /** Returns whether the packet is a client's request to open a flow. */
  public static boolean isOpening(ByteBuffer packet) {
    return (packet.get(FLAGS_OFFSET) & (SYN | ACK)) == SYN;
  }

  /** Returns whether the packet is a target's acceptance of a flow. */
  public static boolean isAccepted(ByteBuffer packet) {
    return (packet.get(FLAGS_OFFSET) & (SYN | ACK)) == (SYN | ACK);
  }

  /** Returns whether the packet resets its flow. */
  public static boolean isReset(ByteBuffer packet) {
    return (packet.get(FLAGS_OFFSET) & RST) != 0;
  }

  /** Returns the flow of a client's packet. */
  public static FlowId flow(ByteBuffer packet) {
    return new FlowId(
        packet.getInt(SOURCE_OFFSET),
        sourcePort(packet),
        destination(packet),
        destinationPort(packet));
  }

  /** Returns the sender's port. */
  public static int sourcePort(ByteBuffer packet) {
    return packet.getShort(SOURCE_PORT_OFFSET) & SHORT_MASK;
  }

  /** Returns the sequence number of the packet's first byte of data. */
  public static int sequence(ByteBuffer packet) {
    return packet.getInt(SEQUENCE_OFFSET);
  }

  /** Returns the destination's IPv4 address. */
  public static int destination(ByteBuffer packet) {
    return packet.getInt(DESTINATION_OFFSET);
  }

  /** Returns the destination's port. */
  public static int destinationPort(ByteBuffer packet) {
    return packet.getShort(DESTINATION_PORT_OFFSET) & SHORT_MASK;
  }

  /**
   * Returns the content that must reach a target unchanged. Fields that the load balancer may
   * modify (the flag of a returned packet, the padding and the echo field) are set to zero.
   */
  public static String immutableContent(ByteBuffer packet) {
    byte[] bytes = new byte[packet.remaining()];
    packet.duplicate().get(bytes);
    bytes[FLAGS_OFFSET] &= (byte) ~BOUNCED;
    bytes[PAD_OFFSET] = 0;
    for (int offset = ECHO_OFFSET; offset < LENGTH_OFFSET; offset++) {
      bytes[offset] = 0;
    }
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** Returns the sequence number of the next byte that the sender expects. */
  public static int ack(ByteBuffer packet) {
    return packet.getInt(ACK_OFFSET);
  }

  /** Returns the packet's data as text. */
  public static String text(ByteBuffer packet) {
    byte[] bytes = new byte[packet.remaining() - HEADER_BYTES];
    packet.get(packet.position() + HEADER_BYTES, bytes);
    return new String(bytes, StandardCharsets.US_ASCII);
  }
}
