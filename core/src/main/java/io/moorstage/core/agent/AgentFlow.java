package io.moorstage.core.agent;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import java.util.ArrayList;
import java.util.List;
import javax.annotation.Nullable;

/**
 * An agent's state of one flow: its stage, its data positions and the request on it. Guarded by the
 * lock of {@link FlowAgent}.
 */
final class AgentFlow {

  /** The stage of a flow's life, from the agent's point of view. */
  enum Stage {
    /** The opening segment was delivered to the target, which has not responded. */
    OPENING,
    /** The target has accepted the opening; the client may continue here or at another target. */
    ACCEPTED,
    /** The target has sent a segment after its acceptance, so it holds the flow. */
    OPEN,
    /**
     * A segment of a flow whose target is unknown was offered here; the target has not responded.
     */
    OFFERED,
    /** The flow was given back; late responses of the target are dropped. */
    WITHDRAWN,
    /** The target held the flow and has lost it. */
    LOST
  }

  private static final long NOT_ACCEPTED = -1;

  private final FlowId id;
  private final long openedAtMs;

  /**
   * Number of the copy of the opening segment that opened the flow; above 0 the earlier were lost.
   */
  private final int openCopy;

  private Stage stage;
  private int balancerAddress;
  private long lastUsedMs;

  /** The opening segment until the target has responded to it; null afterwards. */
  @Nullable private byte[] openSegment;

  /** Whether a request is in progress, judged by the direction in which data flows. */
  private boolean busy;

  private long busySinceMs;

  /** Whether the opening occupies a place at the target until its request arrives. */
  private boolean expectsRequest;

  private long acceptedAtMs = NOT_ACCEPTED;

  /** Segments of a request that is queued for the target, or null if none is. */
  @Nullable private List<byte[]> waitingSegments;

  private long waitingSinceMs;

  /** The sequence number after the last byte of the client's data seen so far. */
  private int clientSequence;

  private boolean clientSequenceKnown;

  /** The client's last acknowledgement number; a reset has to carry a sequence number near it. */
  private int acknowledged;

  /** The sequence number after the last byte of the target's data seen so far. */
  private int targetSequence;

  private boolean targetSequenceKnown;

  /** Whether the target has sent data since the agent created this entry. */
  private boolean targetDataSeen;

  /** Whether either end has closed or broken off the flow. */
  private boolean closed;

  /** Counts the flow while it is held; null if the flow is in no table. */
  @Nullable private HeldFlowCount heldCount;

  /** Whether a balancer waits for a report that the target holds the flow. */
  private boolean reportDue;

  private boolean countedAsHeld;

  private AgentFlow(FlowId id, Stage stage, int openCopy, int balancerAddress, long nowMs) {
    this.id = id;
    this.stage = stage;
    this.openCopy = openCopy;
    this.balancerAddress = balancerAddress;
    this.openedAtMs = nowMs;
    this.lastUsedMs = nowMs;
  }

  /** Returns a flow whose opening segment is being delivered to the target. */
  static AgentFlow opening(Segment segment, byte[] datagram, int balancerAddress, long nowMs) {
    AgentFlow flow =
        new AgentFlow(segment.flow(), Stage.OPENING, segment.copy(), balancerAddress, nowMs);
    flow.openSegment = datagram;
    return flow;
  }

  /** Returns a flow whose target is unknown, and of which a segment is offered to this target. */
  static AgentFlow offered(FlowId id, int balancerAddress, long nowMs) {
    AgentFlow flow = new AgentFlow(id, Stage.OFFERED, 0, balancerAddress, nowMs);
    flow.reportDue = true;
    return flow;
  }

  /**
   * Returns a flow that an earlier process of the agent has delivered to the target, as a segment
   * of the target shows; no balancer is known yet. {@link #onTargetSegment} sets its stage: an
   * acceptance does not show that the target holds the flow, any later segment does.
   */
  static AgentFlow ofEarlierProcess(FlowId id, long nowMs) {
    return new AgentFlow(id, Stage.OPENING, 0, 0, nowMs);
  }

  FlowId id() {
    return id;
  }

  Stage stage() {
    return stage;
  }

  /**
   * Returns the address of the balancer that last forwarded a segment of the flow; 0 if none did.
   */
  int balancerAddress() {
    return balancerAddress;
  }

  long openedAtMs() {
    return openedAtMs;
  }

  long lastUsedMs() {
    return lastUsedMs;
  }

  int acknowledged() {
    return acknowledged;
  }

  boolean wasOpenedByFirstCopy() {
    return openCopy == 0;
  }

  boolean hasTargetData() {
    return targetDataSeen;
  }

  boolean isClosed() {
    return closed;
  }

  // ---- stages ----

  /** Returns whether the target has accepted the flow and is not known to have lost it. */
  boolean isAcceptedOrOpen() {
    return stage == Stage.ACCEPTED || stage == Stage.OPEN;
  }

  /** Returns whether the target holds the flow or held it before losing it. */
  boolean wasHeld() {
    return stage == Stage.OPEN || stage == Stage.LOST;
  }

  /** Returns the opening segment if the target has not responded to it, or null. */
  @Nullable
  byte[] unansweredOpening() {
    return stage == Stage.OPENING ? openSegment : null;
  }

  /** Records that a balancer has forwarded a segment of the flow. */
  void onForwarded(int newBalancerAddress, long nowMs) {
    balancerAddress = newBalancerAddress;
    lastUsedMs = nowMs;
  }

  /** Records the client's acknowledgement number. */
  void setAcknowledged(int sequence) {
    acknowledged = sequence;
  }

  /** Updates the stage after the target has sent a segment of the flow. */
  void onTargetSegment(Segment segment, long nowMs) {
    openSegment = null;
    lastUsedMs = nowMs;
    if (segment.kind() != Segment.Kind.OPEN_ACCEPTED) {
      stage = Stage.OPEN;
    } else if (stage == Stage.OPENING) {
      stage = Stage.ACCEPTED;
    }
    targetDataSeen |= segment.dataBytes() > 0;
    updateHeldCount();
  }

  /** Records that a balancer is to be informed once the target holds the flow. */
  void requestReport() {
    reportDue = true;
  }

  /** Returns whether a balancer is to be informed now that the target holds the flow. */
  boolean pollReport() {
    boolean report = reportDue && stage == Stage.OPEN;
    reportDue &= !report;
    return report;
  }

  /** Withdraws the flow: another target holds or may get it, so later responses are dropped. */
  void withdraw() {
    stage = Stage.WITHDRAWN;
    openSegment = null;
    updateHeldCount();
  }

  /** Records that the target has lost the flow. */
  void markLost() {
    stage = Stage.LOST;
    updateHeldCount();
  }

  /** Records that either end has closed or broken off the flow. */
  void markClosed() {
    closed = true;
    updateHeldCount();
  }

  /** Discards the opening segment, so that an expired response timeout has no effect any more. */
  void clearOpening() {
    openSegment = null;
  }

  /**
   * Sets where the flow is counted while the target holds it and neither end has closed it.
   *
   * @param count the count of the table that the flow is added to, or null if it is removed
   */
  void setHeldCount(@Nullable HeldFlowCount count) {
    if (countedAsHeld && heldCount != null) {
      heldCount.add(-1);
    }
    countedAsHeld = false;
    heldCount = count;
    updateHeldCount();
  }

  private void updateHeldCount() {
    boolean isHeld = stage == Stage.OPEN && !closed;
    if (heldCount != null && isHeld != countedAsHeld) {
      heldCount.add(isHeld ? 1 : -1);
      countedAsHeld = isHeld;
    }
  }

  // ---- the request ----

  boolean isBusy() {
    return busy;
  }

  long busySinceMs() {
    return busySinceMs;
  }

  void beginRequest(long nowMs) {
    busy = true;
    busySinceMs = nowMs;
  }

  void endRequest() {
    busy = false;
  }

  /** Returns whether the flow's opening was admitted and its request has not arrived yet. */
  boolean expectsRequest() {
    return expectsRequest;
  }

  void expectRequest() {
    expectsRequest = true;
  }

  void stopExpectingRequest() {
    expectsRequest = false;
  }

  /** Records when the target accepted the flow; returns false if it was recorded before. */
  boolean markAccepted(long nowMs) {
    if (acceptedAtMs != NOT_ACCEPTED) {
      return false;
    }
    acceptedAtMs = nowMs;
    return true;
  }

  long acceptedAtMs() {
    return acceptedAtMs;
  }

  boolean isWaiting() {
    return waitingSegments != null;
  }

  long waitingSinceMs() {
    return waitingSinceMs;
  }

  int waitingSegmentCount() {
    return waitingSegments == null ? 0 : waitingSegments.size();
  }

  /** Starts queueing the segments of a request, with the first one. */
  void beginWaiting(byte[] datagram, long nowMs) {
    waitingSegments = new ArrayList<>(1);
    waitingSegments.add(datagram);
    waitingSinceMs = nowMs;
  }

  /** Queues another segment of the waiting request. */
  void addWaitingSegment(byte[] datagram) {
    if (waitingSegments != null) {
      waitingSegments.add(datagram);
    }
  }

  /** Removes and returns the segments of the waiting request, which ends its wait. */
  List<byte[]> takeWaitingSegments() {
    List<byte[]> segments = waitingSegments == null ? List.of() : waitingSegments;
    waitingSegments = null;
    return segments;
  }

  // ---- data positions ----

  /** Records the position of the client's data; returns whether the segment has new data. */
  boolean recordClientData(Segment segment) {
    int end = segment.sequence() + segment.dataBytes();
    boolean isNew = !clientSequenceKnown || end - clientSequence > 0;
    if (isNew) {
      clientSequence = end;
      clientSequenceKnown = true;
    }
    return isNew;
  }

  /** Records the position of the target's data. */
  void recordTargetData(Segment segment) {
    int opening = segment.kind() == Segment.Kind.OPEN_ACCEPTED ? 1 : 0;
    int end = segment.sequence() + segment.dataBytes() + opening;
    if (!targetSequenceKnown || end - targetSequence > 0) {
      targetSequence = end;
      targetSequenceKnown = true;
    }
  }

  /**
   * Returns whether the target sent, or may have sent, data that precedes a closing segment and has
   * not arrived yet. The short closing segment sometimes overtakes the response; its sequence
   * number shows that.
   *
   * @param end a closing or reset segment of the target; never true for a reset
   */
  boolean followsUnseenData(Segment end) {
    boolean hasGap = end.sequence() - targetSequence > 0;
    return end.kind() == Segment.Kind.CLOSE && (!targetSequenceKnown || hasGap);
  }
}
