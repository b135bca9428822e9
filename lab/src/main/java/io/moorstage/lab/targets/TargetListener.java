package io.moorstage.lab.targets;

import java.nio.ByteBuffer;

/** Receives the events of a target and runs its requests, on the target's thread. */
public interface TargetListener {
  /** Called for each packet that the target receives. */
  default void onPacket(ByteBuffer packet) {}

  /** Called when a flow opens, with the first packet of its client after the acceptance. */
  default void onOpened(ByteBuffer packet) {}

  /** Called before the target returns a packet of a flow that it does not hold. */
  default void onReturned(ByteBuffer packet) {}

  /** Called before a request runs, with its packet. */
  default void onRun(ByteBuffer packet) {}

  /**
   * Runs a request and returns the response. Called once for each request, however often its packet
   * arrives.
   */
  String runRequest(String request);

  /** Returns the response to a request that the target does not run because its queue is full. */
  default String rejectRequest(String request) {
    throw new UnsupportedOperationException("targets without a queue reject no request");
  }
}
