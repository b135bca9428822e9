package io.moorstage.forwarding.state;

import io.moorstage.forwarding.log.EventLog;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Supplier;

/** Fetches the state of peers that have a newer one than this process, from one peer at a time. */
public final class PeerStateFetcher {
  private final PeerStateClient client;
  private final Supplier<PeerStateQuery> ownState;
  private final StateHandler handler;
  private final EventLog log;
  private final Set<Integer> pendingPeers = new LinkedHashSet<>();

  /** Handles the states that peers return. */
  public interface StateHandler {
    /**
     * Handles the encoded complete state of a peer, or its encoded changes since the state that the
     * query names.
     *
     * @throws StateSourceException if the encoded state is malformed
     */
    void onPeerState(int peerAddress, PeerStateQuery query, byte[] encoded)
        throws StateSourceException;
  }

  /**
   * Creates a fetcher.
   *
   * @param ownState returns the query that names this node's state at the time of the request
   */
  public PeerStateFetcher(
      PeerStateClient client,
      Supplier<PeerStateQuery> ownState,
      StateHandler handler,
      EventLog log) {
    this.client = client;
    this.ownState = ownState;
    this.handler = handler;
    this.log = log;
  }

  public void start() {
    Thread thread = new Thread(this::fetchForever, "peer-state");
    thread.setDaemon(true);
    thread.start();
  }

  /** Requests the state of a peer; does nothing if a request to it is pending or in flight. */
  public synchronized void fetch(int peerAddress) {
    if (pendingPeers.add(peerAddress)) {
      notifyAll();
    }
  }

  /** Returns whether any request is pending or in flight. */
  public synchronized boolean isBusy() {
    return !pendingPeers.isEmpty();
  }

  private synchronized int awaitNextPeer() throws InterruptedException {
    while (pendingPeers.isEmpty()) {
      wait();
    }
    return pendingPeers.iterator().next();
  }

  private synchronized void removePending(int peerAddress) {
    pendingPeers.remove(peerAddress);
  }

  private void fetchForever() {
    try {
      while (true) {
        int peer = awaitNextPeer();
        try {
          PeerStateQuery query = ownState.get();
          handler.onPeerState(peer, query, client.read(peer, query));
        } catch (StateSourceException e) {
          log.event("peer-state-failed", "failure", e.failure().code(), "detail", e.getMessage());
        } catch (RuntimeException e) {
          log.event("internal-error", "detail", String.valueOf(e));
        }
        removePending(peer);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
