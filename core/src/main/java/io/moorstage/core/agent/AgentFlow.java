package io.moorstage.core.agent;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import java.util.ArrayList;
import java.util.List;
import javax.annotation.Nullable;

/**
 * What an agent remembers of one flow: how far it is, and the request on it. Guarded by the lock of
 * {@link FlowAgent}.
 */
final class AgentFlow {

  /** How far the flow is. */
  enum Stage {
    /** The opening segment went to the target, which has not answered. */
    OPENING,
    /** The target has accepted; the client may go on here or at another target. */
    ACCEPTED,
    /** The target has gone on after the opening: it holds the flow. */
    OPEN,
    /** A segment of a flow of unknown place went to the target, which has not answered. */
    OFFERED,
    /** The opening segment was given back; what the target answers late is not passed on. */
    WITHDRAWN,
    /** The target held the flow and has lost it. */
    LOST
  }

  private final FlowId id;
  private final long openedAtMs;

  /** Which copy of the opening segment opened the flow; above 0 the first ones were lost. */
  private final int openCopy;

  private Stage stage;
  private int balancerAddress;
  private long lastUsedMs;

  /** The opening segment, as long as the target has not answered it. */
  @Nullable private byte[] openSegment;

  /** Whether a request is in progress, as far as the direction of data tells. */
  private boolean busy;

  private long busySinceMs;

  /** Segments of a request that waits for the target, or null if none waits. */
  @Nullable private List<byte[]> waitingSegments;

  private long waitingSinceMs;

  /** The sequence number behind the client's data, as far as it has been seen. */
  private int clientSequence;

  private boolean clientSequenceKnown;

  /** The sequence number up to which the client has the target's data: a reset has to be near. */
  private int acknowledged;

  /** The sequence number behind the target's data, as far as it has been seen. */
  private int targetSequence;

  private boolean targetSequenceKnown;

  /** Whether the target has sent data since the agent knows the flow. */
  private boolean answered;

  /** Whether either end has closed or broken off the flow. */
  private boolean closed;

  private AgentFlow(FlowId id, Stage stage, int openCopy, int balancerAddress, long nowMs) {
    this.id = id;
    this.stage = stage;
    this.openCopy = openCopy;
    this.balancerAddress = balancerAddress;
    this.openedAtMs = nowMs;
    this.lastUsedMs = nowMs;
  }

  /** Returns a flow whose opening segment goes to the target now. */
  static AgentFlow opening(Segment segment, byte[] datagram, int balancerAddress, long nowMs) {
    AgentFlow flow =
        new AgentFlow(segment.flow(), Stage.OPENING, segment.copy(), balancerAddress, nowMs);
    flow.openSegment = datagram;
    return flow;
  }

  /** Returns a flow of unknown place, of which a segment goes to the target now. */
  static AgentFlow offered(FlowId id, int balancerAddress, long nowMs) {
    return new AgentFlow(id, Stage.OFFERED, 0, balancerAddress, nowMs);
  }

  /** Returns a flow that the target holds, as its segment shows; no balancer is known yet. */
  static AgentFlow held(FlowId id, long nowMs) {
    return new AgentFlow(id, Stage.OPEN, 0, 0, nowMs);
  }

  FlowId id() {
    return id;
  }

  Stage stage() {
    return stage;
  }

  /** Returns the balancer that has forwarded a segment of the flow last, 0 if none has. */
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

  boolean isAnswered() {
    return answered;
  }

  boolean isClosed() {
    return closed;
  }

  // ---- stages ----

  /** Returns whether the target has accepted the flow, and still holds it as far as is known. */
  boolean isAcceptedOrOpen() {
    return stage == Stage.ACCEPTED || stage == Stage.OPEN;
  }

  /** Returns whether the target held the flow at some time. */
  boolean wasHeld() {
    return stage == Stage.OPEN || stage == Stage.LOST;
  }

  /** Returns the opening segment if the target has not answered it, or null. */
  @Nullable
  byte[] unansweredOpening() {
    return stage == Stage.OPENING ? openSegment : null;
  }

  /** A balancer has forwarded a segment of the flow. */
  void onForwarded(int newBalancerAddress, long nowMs) {
    balancerAddress = newBalancerAddress;
    lastUsedMs = nowMs;
  }

  /** The client has acknowledged the target's data up to a sequence number. */
  void setAcknowledged(int sequence) {
    acknowledged = sequence;
  }

  /** The target has sent a segment of the flow. */
  void onTargetSegment(Segment segment, long nowMs) {
    openSegment = null;
    lastUsedMs = nowMs;
    if (segment.kind() != Segment.Kind.OPEN_ACCEPTED) {
      stage = Stage.OPEN;
    } else if (stage == Stage.OPENING) {
      stage = Stage.ACCEPTED;
    }
    answered |= segment.dataBytes() > 0;
  }

  /** What the target answers from now on is not passed on: the flow is, or may be, elsewhere. */
  void withdraw() {
    stage = Stage.WITHDRAWN;
    openSegment = null;
  }

  /** The target has lost the flow. */
  void markLost() {
    stage = Stage.LOST;
  }

  /** Either end has closed or broken off the flow. */
  void markClosed() {
    closed = true;
  }

  /** The agent forgets the flow: its opening is not waited for any more. */
  void clearOpening() {
    openSegment = null;
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

  boolean isWaiting() {
    return waitingSegments != null;
  }

  long waitingSinceMs() {
    return waitingSinceMs;
  }

  int waitingSegmentCount() {
    return waitingSegments == null ? 0 : waitingSegments.size();
  }

  /** A request of the flow waits for the target from now on. */
  void beginWaiting(byte[] datagram, long nowMs) {
    waitingSegments = new ArrayList<>(1);
    waitingSegments.add(datagram);
    waitingSinceMs = nowMs;
  }

  /** Keeps a further segment of the request that waits. */
  void addWaitingSegment(byte[] datagram) {
    if (waitingSegments != null) {
      waitingSegments.add(datagram);
    }
  }

  /** Returns the segments of the request that waited; it waits no longer. */
  List<byte[]> takeWaitingSegments() {
    List<byte[]> segments = waitingSegments == null ? List.of() : waitingSegments;
    waitingSegments = null;
    return segments;
  }

  // ---- how far data has come ----

  /**
   * Notes how far the client's data has come; returns whether the segment brings any that is new.
   */
  boolean recordClientData(Segment segment) {
    int end = segment.sequence() + segment.dataBytes();
    boolean isNew = !clientSequenceKnown || end - clientSequence > 0;
    if (isNew) {
      clientSequence = end;
      clientSequenceKnown = true;
    }
    return isNew;
  }

  /** Notes how far the target's data has come. */
  void recordTargetData(Segment segment) {
    int opening = segment.kind() == Segment.Kind.OPEN_ACCEPTED ? 1 : 0;
    int end = segment.sequence() + segment.dataBytes() + opening;
    if (!targetSequenceKnown || end - targetSequence > 0) {
      targetSequence = end;
      targetSequenceKnown = true;
    }
  }

  /**
   * Returns whether the target has, or may have, sent data before a segment that ends the flow: the
   * short closing segment overtakes the answer now and then, and its sequence number tells.
   */
  boolean followsUnseenData(Segment end) {
    boolean isBehind = end.sequence() - targetSequence > 0;
    return end.kind() == Segment.Kind.CLOSE && (!targetSequenceKnown || isBehind);
  }
}
