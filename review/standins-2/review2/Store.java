package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store, sound and always up: range and watch for daemons, writes for stand-ins. */
final class Store implements AutoCloseable {
  /** How long changes can be read by a watch, as in the site files. */
  private static final long HISTORY_MS = 20_000;

  private record Item(String key, String value, long revision, long created, long atNs) {
    Item(String key, String value, long revision, long created) {
      this(key, value, revision, created, System.nanoTime());
    }
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private long revision = 100;
  private long historyFrom = 100;

  Store(InetSocketAddress address) throws IOException {
    server = HttpServer.create(address, 0);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  /** Writes an item; it is acknowledged when this returns. */
  synchronized void put(String key, String value) {
    Item before = items.get(key);
    revision++;
    Item item = new Item(key, value, revision, before == null ? revision : before.created());
    items.put(key, item);
    history.add(item);
    notifyAll();
  }

  synchronized void remove(String key) {
    if (items.remove(key) != null) {
      revision++;
      history.add(new Item(key, null, revision, 0));
      notifyAll();
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      Map<String, String> query = new HashMap<>();
      String raw = exchange.getRequestURI().getQuery();
      for (String part : (raw == null ? "" : raw).split("&")) {
        int equals = part.indexOf('=');
        if (equals > 0) {
          query.put(part.substring(0, equals), part.substring(equals + 1));
        }
      }
      boolean watch = exchange.getRequestURI().getPath().equals("/-/kv-watch");
      String text = watch ? watch(query) : range(query);
      byte[] body = (text == null ? "{}" : text).getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(text == null ? 410 : 200, body.length);
      try (OutputStream out = exchange.getResponseBody()) {
        out.write(body);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private synchronized String range(Map<String, String> query) {
    String prefix = query.getOrDefault("path_prefix", "");
    String after = query.getOrDefault("after", "");
    StringBuilder json = new StringBuilder();
    boolean hasMore = false;
    for (Item item : items.values()) {
      if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
        hasMore = json.length() > 1_000_000;
        if (hasMore) {
          break;
        }
        json.append(json.isEmpty() ? "" : ",").append(text(item));
      }
    }
    return "{\"items\":[" + json + "],\"has_more\":" + hasMore + ",\"at\":" + revision + "}";
  }

  private synchronized String watch(Map<String, String> query) throws InterruptedException {
    String prefix = query.getOrDefault("path_prefix", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long deadlineNs =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    while (true) {
      while (!history.isEmpty() && System.nanoTime() - history.get(0).atNs() > HISTORY_MS * 1_000_000) {
        historyFrom = history.remove(0).revision();
      }
      if (after < historyFrom) {
        return null;
      }
      StringBuilder json = new StringBuilder();
      for (Item item : history) {
        if (item.revision() > after && item.key().startsWith(prefix)) {
          json.append(json.isEmpty() ? "" : ",").append(text(item));
        }
      }
      long leftMs = (deadlineNs - System.nanoTime()) / 1_000_000;
      if (!json.isEmpty() || leftMs <= 0) {
        return "{\"events\":[" + json + "],\"at\":" + revision + "}";
      }
      wait(leftMs);
    }
  }

  private static String text(Item item) {
    if (item.value() == null) {
      return "{\"key\":\"" + item.key() + "\",\"revision\":" + item.revision() + ",\"gone\":true}";
    }
    String value =
        Base64.getEncoder().encodeToString(item.value().getBytes(StandardCharsets.UTF_8));
    return "{\"key\":\""
        + item.key()
        + "\",\"value\":\""
        + value
        + "\",\"revision\":"
        + item.revision()
        + ",\"created\":"
        + item.created()
        + ",\"lease\":0}";
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
