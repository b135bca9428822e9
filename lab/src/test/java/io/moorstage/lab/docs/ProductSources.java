package io.moorstage.lab.docs;

import io.moorstage.core.state.TargetPhase;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The main sources of the balancer and the agent, read from this repository. */
final class ProductSources {
  /** The repository's root, relative to the directory in which Maven runs this module's tests. */
  private static final Path ROOT = Path.of("..");

  private static final List<String> MODULES = List.of("core", "forwarding", "platform");

  /** A call that begins a log line, with its event name or the two names of a conditional. */
  private static final Pattern EVENT =
      Pattern.compile(
          "(?:\\.event|begin|logZones)\\(\\s*(?:\\w+ \\? )?\"([a-z-]+)\"(?: : \"([a-z-]+)\")?");

  private static final Pattern GROUPED_DIGITS = Pattern.compile("(?<=\\d)_(?=\\d)");

  private final Map<String, String> byClass;

  private ProductSources(Map<String, String> byClass) {
    this.byClass = byClass;
  }

  /** Reads all sources. */
  static ProductSources read() throws IOException {
    Map<String, String> byClass = new HashMap<>();
    for (String module : MODULES) {
      for (Path file : filesOf(ROOT.resolve(module).resolve("src/main/java"))) {
        String name = file.getFileName().toString().replace(".java", "");
        byClass.put(name, Files.readString(file));
      }
    }
    return new ProductSources(byClass);
  }

  private static List<Path> filesOf(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files.filter(file -> file.toString().endsWith(".java")).collect(Collectors.toList());
    }
  }

  /** Reads a page of the documentation. */
  static String page(String name) throws IOException {
    return Files.readString(ROOT.resolve("docs").resolve(name));
  }

  /** Returns the simple names of all classes. */
  Set<String> classes() {
    return byClass.keySet();
  }

  /** Returns the source of a class with underscores removed from numbers; empty if unknown. */
  String sourceOf(String className) {
    return GROUPED_DIGITS.matcher(byClass.getOrDefault(className, "")).replaceAll("");
  }

  /** Returns the names of all logged events other than decisions. */
  Set<String> events() {
    Set<String> events = new TreeSet<>();
    for (String source : byClass.values()) {
      Matcher matcher = EVENT.matcher(source);
      while (matcher.find()) {
        addEvents(events, matcher.toMatchResult());
      }
    }
    return events;
  }

  // A name that ends in a hyphen is a prefix, to which the code appends a target's phase.
  private static void addEvents(Set<String> events, MatchResult call) {
    for (int group = 1; group <= call.groupCount(); group++) {
      String name = call.group(group);
      if (name == null) {
        continue;
      }
      if (!name.endsWith("-")) {
        events.add(name);
        continue;
      }
      for (TargetPhase phase : TargetPhase.values()) {
        events.add(name + phase.name().toLowerCase(Locale.ROOT));
      }
    }
  }
}
