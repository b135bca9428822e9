package io.moorstage.forwarding.net;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.Semaphore;

/**
 * Checks whether the target's process runs, by opening a connection to its port and closing it.
 * Requested checks run on a separate thread, one at a time.
 */
public final class TargetCheck {
  /** The target is on the same machine, where a busy target accepts within a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MS = 200;

  private final InetSocketAddress target;
  private final Listener listener;
  private final Semaphore requests = new Semaphore(0);

  /** Receives the results of checks. */
  public interface Listener {
    /**
     * Handles the result of a check.
     *
     * @param refused whether the machine refused the connection, as no process listens on the port
     */
    void onChecked(boolean refused);
  }

  /**
   * Creates a check that runs nothing before {@link #start()}.
   *
   * @param target the address at which the target accepts connections
   * @param listener receives each result, on the thread that ran the check
   */
  public TargetCheck(InetSocketAddress target, Listener listener) {
    this.target = target;
    this.listener = listener;
  }

  /** Starts the thread that runs requested checks. */
  public void start() {
    Thread thread = new Thread(this::checkForever, "target-check");
    thread.setDaemon(true);
    thread.start();
  }

  /** Requests a check. Requests that arrive while a check runs are combined into one check. */
  public void request() {
    requests.release();
  }

  /**
   * Runs two checks immediately, on the caller's thread. The listener needs two consecutive
   * refusals to regard the target as ended, since a process that is about to start does not listen
   * yet.
   */
  public void runTwice() {
    listener.onChecked(isRefused());
    listener.onChecked(isRefused());
  }

  private void checkForever() {
    try {
      while (true) {
        requests.acquire();
        requests.drainPermits();
        listener.onChecked(isRefused());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // Other failures, such as a timeout, don't show that the process has ended, so the target counts
  // as running.
  private boolean isRefused() {
    try (Socket socket = new Socket()) {
      socket.connect(target, CONNECT_TIMEOUT_MS);
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
