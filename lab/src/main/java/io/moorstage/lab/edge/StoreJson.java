package io.moorstage.lab.edge;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.moorstage.core.state.ColdStart;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.WeightedService;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/** Writes the store's responses, and the values that the operator and the targets store. */
public final class StoreJson {
  private static final JsonFactory JSON = new JsonFactory();
  private static final double MS_PER_S = 1_000;

  private StoreJson() {}

  private interface Body {
    void write(JsonGenerator json) throws IOException;
  }

  private static String object(Body body) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      body.write(json);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write JSON to memory", e);
    }
    return text.toString();
  }

  /**
   * Returns the response that lists all items.
   *
   * @param atRevision the store's revision at the time of the response
   */
  public static String range(List<StoreItem> items, long atRevision) {
    return object(
        json -> {
          writeItems(json, "items", items);
          json.writeBooleanField("has_more", false);
          json.writeNumberField("at", atRevision);
        });
  }

  /**
   * Returns the response that lists changes.
   *
   * @param atRevision the revision up to which the changes are complete
   */
  public static String events(List<StoreItem> changes, long atRevision) {
    return object(
        json -> {
          writeItems(json, "events", changes);
          json.writeNumberField("at", atRevision);
        });
  }

  private static void writeItems(JsonGenerator json, String name, List<StoreItem> items)
      throws IOException {
    json.writeArrayFieldStart(name);
    for (StoreItem item : items) {
      writeItem(json, item);
    }
    json.writeEndArray();
  }

  private static void writeItem(JsonGenerator json, StoreItem item) throws IOException {
    json.writeStartObject();
    json.writeStringField("key", item.key());
    if (item.value() == null) {
      json.writeBooleanField("gone", true);
    } else {
      byte[] bytes = item.value().getBytes(StandardCharsets.UTF_8);
      json.writeStringField("value", Base64.getEncoder().encodeToString(bytes));
      json.writeNumberField("created", item.created());
    }
    json.writeNumberField("revision", item.revision());
    json.writeEndObject();
  }

  /** Returns a target's entry as of its first write. */
  public static String target(TargetEntry entry, boolean draining) {
    return target(entry, draining, 1);
  }

  /**
   * Returns a target's entry.
   *
   * @param sequence the number of the write since the target's start, counted from 1
   */
  public static String target(TargetEntry entry, boolean draining, int sequence) {
    return object(
        json -> {
          json.writeStringField("service", entry.service());
          json.writeStringField("address", entry.address() + ":" + entry.port());
          json.writeStringField("zone", entry.zone());
          json.writeStringField("version", "1");
          json.writeNumberField("capacity", entry.slots());
          json.writeStringField("state", draining ? "draining" : "ready");
          json.writeNumberField("cold_remaining_ms", 0);
          json.writeNumberField("sequence", sequence);
          if (entry.startedAtMs() > 0) {
            json.writeNumberField("born", entry.startedAtMs());
          }
        });
  }

  /** Returns a target's entry that no reader can use: no address, and a capacity of -1. */
  public static String unusableTarget(String service) {
    return object(
        json -> {
          json.writeStringField("service", service);
          json.writeNumberField("capacity", -1);
        });
  }

  /** Returns the empty value of an item of which only the presence matters. */
  public static String empty() {
    return object(json -> {});
  }

  /** Returns a configuration as the operator writes it. */
  public static String configuration(ForwardingConfiguration configuration) {
    return object(
        json -> {
          json.writeNumberField("version", configuration.version());
          json.writeArrayFieldStart("routes");
          for (ForwardingRoute route : configuration.routes()) {
            writeRoute(json, route);
          }
          json.writeEndArray();
          writeServices(json, configuration.coldStartsByService());
          json.writeObjectFieldStart("limits");
          json.writeNumberField("idle_timeout_ms", configuration.idleTimeoutMs());
          json.writeEndObject();
        });
  }

  private static void writeRoute(JsonGenerator json, ForwardingRoute route) throws IOException {
    String host = Ipv4.text(route.address());
    json.writeStartObject();
    json.writeStringField("name", host + ":" + route.port());
    json.writeStringField("host", host);
    json.writeStringField("path_prefix", "/" + route.port() + "/");
    json.writeStringField("type", route.repeatable() ? "safe" : "unsafe");
    json.writeNumberField("timeout_ms", route.timeoutMs());
    if (route.objectiveMs() > 0) {
      json.writeNumberField("aim_ms", route.objectiveMs());
      json.writeNumberField("priority", route.priority());
    }
    writeBackends(json, route.services());
    json.writeEndObject();
  }

  private static void writeBackends(JsonGenerator json, List<WeightedService> services)
      throws IOException {
    if (services.size() == 1) {
      json.writeStringField("service", services.get(0).service());
      return;
    }
    json.writeArrayFieldStart("backends");
    for (WeightedService backend : services) {
      json.writeStartObject();
      json.writeStringField("service", backend.service());
      json.writeNumberField("weight", backend.weight());
      json.writeEndObject();
    }
    json.writeEndArray();
  }

  private static void writeServices(JsonGenerator json, Map<String, ColdStart> coldStarts)
      throws IOException {
    json.writeArrayFieldStart("services");
    for (Map.Entry<String, ColdStart> entry : coldStarts.entrySet()) {
      json.writeStartObject();
      json.writeStringField("name", entry.getKey());
      json.writeNumberField("cold_start_s", entry.getValue().durationMs() / MS_PER_S);
      json.writeNumberField("cold_per_s", entry.getValue().openingsPerS());
      json.writeEndObject();
    }
    json.writeEndArray();
  }
}
