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

/** A store as the platform's page tells it, with its troubles. Thread-safe. */
public final class StandInStore implements AutoCloseable {
  /** Shorter than the programs wait for an answer, and long enough to be felt. */
  private static final int SLOW_MS = 400;

  /** Longer than any program waits. */
  private static final int SILENT_MS = 10_000;

  /** Between two answers that tell the same again. */
  private static final int RETELLING_PAUSE_MS = 100;

  /** Before any item; a revision of 0 would mean that nothing was ever written. */
  private static final long FIRST_REVISION = 10;

  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;

  private final HttpServer server;
  private final ExecutorService threads;
  private final TreeMap<String, StoreItem> items = new TreeMap<>();
  private final List<StoreItem> history = new ArrayList<>();
  private long revision = FIRST_REVISION;
  private long historySince = FIRST_REVISION;
  private int era = 1;
  private volatile StoreMode mode = StoreMode.SERVING;

  /** What a call is answered, and the era that it is true of; without a body, history is gone. */
  private record Told(int era, @Nullable String body) {}

  /**
   * Starts an empty store.
   *
   * @throws IOException if the address can't be bound
   */
  public StandInStore(InetSocketAddress address) throws IOException {
    threads = Executors.newCachedThreadPool(StandInStore::thread);
    server = HttpServer.create(address, 0);
    server.setExecutor(threads);
    server.createContext("/", this::answer);
    server.start();
  }

  private static Thread thread(Runnable task) {
    Thread thread = new Thread(task, "store");
    thread.setDaemon(true);
    return thread;
  }

  /** Changes how calls are treated from now on. */
  public void setMode(StoreMode next) {
    mode = next;
  }

  /** Writes an item at the next revision. */
  public synchronized void put(String key, String value) {
    putAt(key, value, revision + 1);
  }

  /** Writes an item at a revision of the caller's choice, which may lie before the present one. */
  public synchronized void putAt(String key, String value, long atRevision) {
    StoreItem known = items.get(key);
    long created = known == null ? atRevision : known.created();
    StoreItem item = new StoreItem(key, value, created, atRevision);
    items.put(key, item);
    note(item);
  }

  /** Removes an item if it is there. */
  public synchronized void remove(String key) {
    if (items.remove(key) != null) {
      note(new StoreItem(key, null, 0, revision + 1));
    }
  }

  private void note(StoreItem change) {
    history.add(change);
    skipTo(change.revision());
  }

  /** Raises the revision as changes would that no caller asks for. */
  public synchronized void skipTo(long atRevision) {
    revision = Math.max(revision, atRevision);
    notifyAll();
  }

  /** Returns the keys of all items. */
  public synchronized Set<String> keys() {
    return Set.copyOf(items.keySet());
  }

  /** Returns a copy of all items, to come back from later. */
  public synchronized StoreCopy copy() {
    return new StoreCopy(new TreeMap<>(items), revision);
  }

  /**
   * Comes back from a copy, in the next era: what was written since is gone, its revisions are
   * given out again, and a watch from one that the copy does not have is told that history is gone.
   */
  public synchronized void restore(StoreCopy copy) {
    items.clear();
    items.putAll(copy.items());
    revision = copy.revision();
    history.clear();
    historySince = revision;
    era++;
    notifyAll();
  }

  /** Forgets the history: watches that go on from before are told so. */
  public synchronized void compact() {
    history.clear();
    historySince = revision;
    notifyAll();
  }

  private void answer(HttpExchange exchange) throws IOException {
    try {
      StoreMode now = mode;
      if (now == StoreMode.BUSY) {
        send(exchange, UNAVAILABLE, inEra(null));
        return;
      }
      delay(now);
      StoreCall call = StoreCall.of(exchange.getRequestURI());
      Told told = now == StoreMode.RETELLING ? retell(call) : tell(call);
      send(exchange, told.body() == null ? GONE : OK, told);
    } catch (InterruptedException e) {
      // The store is being closed; the caller's connection ends without an answer.
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static void delay(StoreMode mode) throws InterruptedException {
    if (mode == StoreMode.SILENT) {
      Thread.sleep(SILENT_MS);
    } else if (mode == StoreMode.SLOW) {
      Thread.sleep(SLOW_MS);
    }
  }

  private static void send(HttpExchange exchange, int status, Told told) throws IOException {
    String body = told.body();
    byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set(StoreHeaders.ERA, Integer.toString(told.era()));
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }

  private synchronized Told inEra(@Nullable String body) {
    return new Told(era, body);
  }

  private Told retell(StoreCall call) throws InterruptedException {
    if (call.watch()) {
      Thread.sleep(RETELLING_PAUSE_MS);
    }
    synchronized (this) {
      return inEra(
          call.watch() ? StoreJson.events(history, revision) : StoreJson.range(history, revision));
    }
  }

  private synchronized Told tell(StoreCall call) throws InterruptedException {
    return inEra(
        call.watch() ? watch(call) : StoreJson.range(List.copyOf(items.values()), revision));
  }

  /** Returns null if the history that the caller asks for is gone, or was never there. */
  @Nullable
  private synchronized String watch(StoreCall call) throws InterruptedException {
    long deadlineMs = System.currentTimeMillis() + call.waitMs();
    int askedEra = era;
    while (era == askedEra
        && revision == call.afterRevision()
        && System.currentTimeMillis() < deadlineMs) {
      wait(Math.max(1, deadlineMs - System.currentTimeMillis()));
    }
    if (call.afterRevision() < historySince || call.afterRevision() > revision) {
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

  /** Stops answering. */
  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
