package io.moorstage.core.balancer;

import io.moorstage.core.flow.Datagrams;
import io.moorstage.core.flow.FlowId;
import io.moorstage.core.flow.Segment;
import io.moorstage.core.settings.OpeningSettings;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Holds the openings that wait at the balancer, and limits their number and waiting time. Guarded
 * by the lock of {@link FlowBalancer}.
 *
 * <p>Inputs: the opening segment; the configuration version that an agent has seen in effect, if it
 * gave the opening back because this balancer's configuration is older; the time, in milliseconds.
 *
 * <p>An opening that no target has rejected waits for a target, up to {@code targetWaitMs}; then
 * its client is sent a reset. An opening that an agent gave back because of an old configuration
 * waits for the newer configuration, up to {@value #CONFIGURATION_WAIT_MS} ms; then it is dropped,
 * and the client's next retransmission opens the flow. At most {@value #MAX_WAITING_OPENINGS}
 * openings of both kinds wait.
 *
 * <p>After a start or an outage of the source, targets are listed one by one. A short wait then
 * serves the flow, whereas resets would use up the client's retries within milliseconds.
 */
final class WaitingOpenings {
  /**
   * The maximum number of waiting openings: 1.3 s of new flows at 400 flows/s, the highest rate of
   * any known deployment.
   */
  private static final int MAX_WAITING_OPENINGS = 512;

  /**
   * The maximum wait for a configuration, in milliseconds. It ends before the client's first
   * retransmission, which is sent after 200 ms.
   */
  private static final int CONFIGURATION_WAIT_MS = 180;

  private static final long NO_VERSION = 0;

  private final OpeningSettings settings;
  private final List<Opening> openings = new ArrayList<>();

  /**
   * An opening segment that waits.
   *
   * @param version the configuration version that it waits for; 0 if it waits for a target
   * @param deadlineMs when the wait expires
   */
  record Opening(Segment segment, byte[] datagram, long version, long deadlineMs) {
    boolean waitsForTarget() {
      return version == NO_VERSION;
    }
  }

  WaitingOpenings(OpeningSettings settings) {
    this.settings = settings;
  }

  boolean contains(FlowId flow) {
    for (Opening opening : openings) {
      if (opening.segment().flow().equals(flow)) {
        return true;
      }
    }
    return false;
  }

  boolean isFull() {
    return openings.size() >= MAX_WAITING_OPENINGS;
  }

  /** Adds an opening that waits for a target. */
  void addForTarget(Segment segment, ByteBuffer datagram, long nowMs) {
    long deadlineMs = nowMs + settings.targetWaitMs();
    openings.add(new Opening(segment, Datagrams.copyOf(datagram), NO_VERSION, deadlineMs));
  }

  /** Adds an opening that waits for a configuration, unless the maximum number waits already. */
  void addForConfiguration(Segment segment, ByteBuffer datagram, long version, long nowMs) {
    if (!isFull()) {
      long deadlineMs = nowMs + CONFIGURATION_WAIT_MS;
      openings.add(new Opening(segment, Datagrams.copyOf(datagram), version, deadlineMs));
    }
  }

  /** Removes the openings of a flow, which has been placed at a target. */
  void remove(FlowId flow) {
    openings.removeIf(opening -> opening.segment().flow().equals(flow));
  }

  /** Removes and returns all waiting openings. */
  List<Opening> removeAll() {
    List<Opening> removed = new ArrayList<>(openings);
    openings.clear();
    return removed;
  }

  /** Adds an opening again that was removed and has to wait further. */
  void restore(Opening opening) {
    openings.add(opening);
  }

  /** Removes and returns the openings whose wait has expired. */
  List<Opening> removeExpired(long nowMs) {
    List<Opening> expired = new ArrayList<>(0);
    for (Iterator<Opening> all = openings.iterator(); all.hasNext(); ) {
      Opening opening = all.next();
      if (opening.deadlineMs() <= nowMs) {
        all.remove();
        expired.add(opening);
      }
    }
    return expired;
  }
}
