package review2;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A packet of a client or a target: a head of 32 bytes and data. */
record Packet(
    int flags, int sum, int seq, int ack, int src, int sport, int dst, int dport, String data) {
  static final int SYN = 64;
  static final int ACK = 16;
  static final int FIN = 1;
  static final int RST = 8;
  static final int BOUNCED = 32;

  /** Stands for the keyed sum, which only the two ends can check; a reset of the system has 0. */
  static final int SUM = 0x51515151;

  static Packet read(ByteBuffer from) {
    byte[] data = new byte[from.getShort(10) & 0xFFFF];
    from.get(32, data);
    return new Packet(
        from.get(0),
        from.getInt(2),
        from.getInt(12),
        from.getInt(16),
        from.getInt(28),
        from.getShort(24) & 0xFFFF,
        from.getInt(20),
        from.getShort(26) & 0xFFFF,
        new String(data, StandardCharsets.US_ASCII));
  }

  ByteBuffer bytes() {
    byte[] bytes = data.getBytes(StandardCharsets.US_ASCII);
    ByteBuffer to = ByteBuffer.allocate(32 + bytes.length);
    to.put(0, (byte) flags);
    to.putInt(2, sum);
    to.putShort(10, (short) bytes.length);
    to.putInt(12, seq);
    to.putInt(16, ack);
    to.putInt(20, dst);
    to.putShort(24, (short) sport);
    to.putShort(26, (short) dport);
    to.putInt(28, src);
    to.put(32, bytes);
    return to;
  }

  boolean has(int flag) {
    return (flags & flag) != 0;
  }

  boolean isOpening() {
    return has(SYN) && !has(ACK);
  }
}
