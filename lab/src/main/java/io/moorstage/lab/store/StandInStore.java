package io.moorstage.lab.store;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.moorstage.lab.edge.StoreCall;
import io.moorstage.lab.edge.StoreHeaders;
import io.moorstage.lab.edge.StoreItem;
import io.moorstage.lab.edge.StoreJson;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import javax.annotation.Nullable;

/** A store as the platform's documentation specifies it, with simulated faults. Thread-safe. */
public final class StandInStore implements AutoCloseable {
  /** Shorter than the programs' time-out, and long enough to have an effect. */
  private static final int SLOW_DELAY_MS = 400;

  /** Longer than the time-out of any program. */
  private static final int SILENT_DELAY_MS = 10_000;

  /** The delay of each response to a watch that replays the history. */
  private static final int REPLAY_DELAY_MS = 100;

  /** The revision of the empty store; 0 would mean that nothing was ever written. */
  private static final long FIRST_REVISION = 10;

  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;

  private final HttpServer server;
  private final ExecutorService threads;
  private final TreeMap<String, StoreItem> items = new TreeMap<>();
  private final List<StoreItem> history = new ArrayList<>();
  private long revision = FIRST_REVISION;
  private long historyStartRevision = FIRST_REVISION;
  private int era = 1;
  private volatile StoreMode mode = StoreMode.SERVING;

  /**
   * A response to a call.
   *
   * @param era the store's era at the time of the response
   * @param body null if the requested history is gone
   */
  private record Response(int era, @Nullable String body) {}

  /**
   * Starts an empty store.
   *
   * @throws IOException if the address can't be bound
   */
  public StandInStore(InetSocketAddress address) throws IOException {
    threads = Executors.newCachedThreadPool(StandInStore::thread);
    server = HttpServer.create(address, 0);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  private static Thread thread(Runnable task) {
    Thread thread = new Thread(task, "store");
    thread.setDaemon(true);
    return thread;
  }

  /** Changes how the store handles calls from now on. */
  public void setMode(StoreMode next) {
    mode = next;
  }

  /** Writes an item at the next revision. */
  public synchronized void put(String key, String value) {
    putAt(key, value, revision + 1);
  }

  /** Writes an item at a given revision, which may be lower than the current one. */
  public synchronized void putAt(String key, String value, long atRevision) {
    StoreItem previous = items.get(key);
    long created = previous == null ? atRevision : previous.created();
    StoreItem item = new StoreItem(key, value, created, atRevision);
    items.put(key, item);
    record(item);
  }

  /** Removes an item if it is there. */
  public synchronized void remove(String key) {
    if (items.remove(key) != null) {
      record(new StoreItem(key, null, 0, revision + 1));
    }
  }

  private void record(StoreItem change) {
    history.add(change);
    advanceRevision(change.revision());
  }

  /** Raises the revision as changes of other items would; a lower value has no effect. */
  public synchronized void advanceRevision(long atRevision) {
    revision = Math.max(revision, atRevision);
    notifyAll();
  }

  /** Returns the keys of all items. */
  public synchronized Set<String> keys() {
    return Set.copyOf(items.keySet());
  }

  /** Returns a copy of all items, which {@code restore} accepts later. */
  public synchronized StoreCopy copy() {
    return new StoreCopy(new TreeMap<>(items), revision);
  }

  /**
   * Restores the store from a copy and starts the next era: later writes are lost, their revisions
   * are assigned again, and a watch from a revision above the current one fails with status 410.
   */
  public synchronized void restore(StoreCopy copy) {
    items.clear();
    items.putAll(copy.items());
    revision = copy.revision();
    history.clear();
    historyStartRevision = revision;
    era++;
    notifyAll();
  }

  /** Discards the history: a watch from an earlier revision fails with status 410. */
  public synchronized void compact() {
    history.clear();
    historyStartRevision = revision;
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      StoreMode currentMode = mode;
      if (currentMode == StoreMode.BUSY) {
        send(exchange, UNAVAILABLE, responseOf(null));
        return;
      }
      delay(currentMode);
      StoreCall call = StoreCall.of(exchange.getRequestURI());
      Response response = currentMode == StoreMode.REPLAYING ? replay(call) : respond(call);
      send(exchange, response.body() == null ? GONE : OK, response);
    } catch (InterruptedException e) {
      // The store is being closed; the connection is closed without a response.
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static void delay(StoreMode mode) throws InterruptedException {
    if (mode == StoreMode.SILENT) {
      Thread.sleep(SILENT_DELAY_MS);
    } else if (mode == StoreMode.SLOW) {
      Thread.sleep(SLOW_DELAY_MS);
    }
  }

  private static void send(HttpExchange exchange, int status, Response response)
      throws IOException {
    String body = response.body();
    byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set(StoreHeaders.ERA, Integer.toString(response.era()));
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }

  private synchronized Response responseOf(@Nullable String body) {
    return new Response(era, body);
  }

  private Response replay(StoreCall call) throws InterruptedException {
    if (call.watch()) {
      Thread.sleep(REPLAY_DELAY_MS);
    }
    synchronized (this) {
      return responseOf(
          call.watch() ? StoreJson.events(history, revision) : StoreJson.range(history, revision));
    }
  }

  private synchronized Response respond(StoreCall call) throws InterruptedException {
    return responseOf(
        call.watch() ? watch(call) : StoreJson.range(List.copyOf(items.values()), revision));
  }

  /** Returns null if the requested history was discarded, or lies after the current revision. */
  @Nullable
  private synchronized String watch(StoreCall call) throws InterruptedException {
    long deadlineMs = System.currentTimeMillis() + call.waitMs();
    int initialEra = era;
    while (era == initialEra
        && revision == call.afterRevision()
        && System.currentTimeMillis() < deadlineMs) {
      wait(Math.max(1, deadlineMs - System.currentTimeMillis()));
    }
    if (call.afterRevision() < historyStartRevision || call.afterRevision() > revision) {
      return null;
    }
    List<StoreItem> events = new ArrayList<>();
    for (StoreItem item : history) {
      if (item.revision() > call.afterRevision()) {
        events.add(item);
      }
    }
    return StoreJson.events(events, revision);
  }

  /** Stops the server; pending calls get no response. */
  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
