package io.moorstage.lab.client;

import java.nio.ByteBuffer;

/** Receives the events of clients, on the clients' thread. */
public interface ClientListener {
  /** Called before the first opening packet of a flow is sent. */
  default void onOpen(ClientFlow flow) {}

  /** Called before a packet is sent. */
  void onSend(ByteBuffer packet);

  /** Called before a request is sent for the first time. */
  default void onRequest(ClientFlow flow) {}

  /**
   * Called when the response to a request arrives.
   *
   * @param tookNs time since the request was sent first, in nanoseconds
   */
  void onServed(long tookNs);

  /**
   * Called when a request ends, including all its attempts.
   *
   * @param served whether its response has arrived
   */
  default void onRequestEnd(ClientFlow flow, boolean served) {}

  /** Called after a flow has ended, for any reason. */
  default void onEnd(ClientFlow flow) {}

  /** Called when an acceptance arrives for a flow that has ended. */
  default void onLateAcceptance(int port) {}

  /** Called when a flow ends before all its requests were served. */
  void onFailed(ClientFlow flow);

  /** Called when a flow is reset, before {@link #onFailed}. */
  void onReset(ClientFlow flow);

  /** Called when a client receives an acceptance that no known target has sent. */
  void onUnknownAcceptance(ClientFlow flow);

  /**
   * Called when a client receives a response that is malformed, or that does not come from the
   * target that has accepted its flow.
   */
  void onForeignResponse(ClientFlow flow, String text);

  /** Called when the clients stop because of an error. */
  void onError(Exception cause);
}
