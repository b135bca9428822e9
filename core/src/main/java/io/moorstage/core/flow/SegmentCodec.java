package io.moorstage.core.flow;

import java.nio.ByteBuffer;
import javax.annotation.Nullable;

/** Reads and writes segment headers in the wire format of clients and targets. */
public interface SegmentCodec {

  /**
   * Decodes a datagram that a client sent.
   *
   * @param datagram the datagram between position and limit, neither of which changes
   * @return the segment, or null if the datagram is malformed
   */
  @Nullable
  Segment decodeFromClient(ByteBuffer datagram);

  /**
   * Decodes a datagram that a target sent: its own segment, or a client's segment that it returns.
   *
   * @param datagram the datagram between position and limit, neither of which changes
   * @return the segment, or null if the datagram is malformed
   */
  @Nullable
  Segment decodeFromTarget(ByteBuffer datagram);

  /** Clears the flag of a returned datagram, so that it can be sent to another target. */
  void clearReturned(ByteBuffer datagram);

  /**
   * Encodes a reset from the service to the client.
   *
   * @param flow the flow to reset
   * @param sequence the sequence number, one that the client accepts
   * @param datagram the buffer that receives the reset; ready to be sent afterwards
   */
  void encodeReset(FlowId flow, int sequence, ByteBuffer datagram);
}
