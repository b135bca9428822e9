package io.moorstage.core.flow;

/**
 * The fields of a segment that forwarding decisions need.
 *
 * @param flow the flow of the segment, the same for both directions
 * @param kind the effect of the segment on its flow
 * @param copy the number of this copy of an opening segment, counted from 0; 0 for other segments
 * @param returned whether this is a client's segment that the target has rejected and sent back
 * @param sequence the sequence number of the first byte of data
 * @param acknowledged the acknowledgement number, which a reset sent by a balancer or an agent uses
 *     as its sequence number
 * @param dataBytes the length of the segment's data in bytes
 */
public record Segment(
    FlowId flow,
    Kind kind,
    int copy,
    boolean returned,
    int sequence,
    int acknowledged,
    int dataBytes) {

  /** The effect of a segment on its flow. */
  public enum Kind {
    /** The client opens a new flow. */
    OPEN,
    /** The target accepts the new flow. */
    OPEN_ACCEPTED,
    /** Carries data or an acknowledgement. */
    DATA,
    /** One end closes its direction of the flow. */
    CLOSE,
    /** One end aborts the flow. */
    RESET
  }
}
