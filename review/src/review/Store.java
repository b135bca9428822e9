package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A stand-in for the platform's store: range and watch as PROTOCOL.md describes them, with one
 * revision for all items and a history that is never dropped.
 */
final class Store implements AutoCloseable {
  private static final int MAX_RECORDED = 1_000;
  private static final int OK = 200;
  private static final int GONE = 410;

  private final HttpServer server;
  private final Record record;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private long revision = 10;

  /** A written item, or a removed one, whose value is null. */
  private record Item(String key, String value, long created, long revision) {
    String json() {
      if (value == null) {
        return "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"gone\":true}";
      }
      String base64 =
          Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
      return "{\"key\":\"" + key + "\",\"value\":\"" + base64 + "\",\"revision\":" + revision
          + ",\"created\":" + created + ",\"lease\":0}";
    }
  }

  Store(String address, int port, Record record) throws IOException {
    this.record = record;
    server = HttpServer.create(new InetSocketAddress(address, port), 0);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/-/kv-range", exchange -> respond(exchange, OK, range()));
    server.createContext("/-/kv-watch", this::watch);
    server.start();
  }

  /** Writes an item; returns the time of the acknowledgement. */
  synchronized long put(String key, String value) {
    Item previous = items.get(key);
    revision++;
    Item item = new Item(key, value, previous == null ? revision : previous.created(), revision);
    items.put(key, item);
    return changed(item);
  }

  /** Removes an item; returns the time of the acknowledgement. */
  synchronized long remove(String key) {
    items.remove(key);
    revision++;
    return changed(new Item(key, null, 0, revision));
  }

  private long changed(Item item) {
    history.add(item);
    notifyAll();
    record.add("store: " + (item.value() == null ? "gone " : "put ") + item.key() + " at revision "
        + revision + (item.value() == null ? "" : " " + shortened(item.value())));
    return record.nowMs();
  }

  private static String shortened(String value) {
    return value.length() <= MAX_RECORDED
        ? value
        : value.substring(0, MAX_RECORDED) + "... (" + value.length() + " characters)";
  }

  private synchronized String range() {
    return "{\"items\":[" + join(List.copyOf(items.values())) + "],\"has_more\":false,\"at\":"
        + revision + "}";
  }

  private void watch(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    long after = Long.parseLong(query.get("after"));
    long waitMs = Long.parseLong(query.get("wait_ms"));
    String body;
    synchronized (this) {
      long deadlineNs = System.nanoTime() + waitMs * 1_000_000;
      while (revision <= after && System.nanoTime() - deadlineNs < 0) {
        try {
          wait(Math.max(1, (deadlineNs - System.nanoTime()) / 1_000_000));
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
      }
      List<Item> events = new ArrayList<>();
      history.stream().filter(item -> item.revision() > after).forEach(events::add);
      body = "{\"events\":[" + join(events) + "],\"at\":" + revision + "}";
    }
    respond(exchange, after > 0 ? OK : GONE, body);
  }

  private static String join(List<Item> items) {
    return String.join(",", items.stream().map(Item::json).toList());
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String pair : text.split("&")) {
      int equals = pair.indexOf('=');
      values.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return values;
  }

  private static void respond(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
