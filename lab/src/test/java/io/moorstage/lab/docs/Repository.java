package io.moorstage.lab.docs;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** An index of what pages may refer to: files, and the types and words of the sources. */
final class Repository {
  private static final Set<String> MODULES =
      Set.of("core", "forwarding", "platform", "policy", "lab", "spec");

  private static final String OWN_FILE = "io/moorstage/lab/docs/PagesTest.java";
  private static final String MODEL_SUFFIX = ".als";

  private static final Pattern DECLARATION =
      Pattern.compile("\\b(?:class|interface|enum|record)\\s+([A-Z]\\w*)");

  private static final Pattern IMPORT =
      Pattern.compile("(?m)^import (?:static )?[\\w.]*?\\b([A-Z]\\w*)");

  private static final Pattern WORD = Pattern.compile("\\w+");

  private final Path root;
  private final Set<String> fileNames = new HashSet<>();
  private final Set<String> folders = new HashSet<>();
  private final Set<String> importedTypes = new HashSet<>();
  private final Map<String, Set<String>> wordsByType = new HashMap<>();
  private final Set<String> words = new HashSet<>();
  private final Set<String> modelWords = new HashSet<>();
  private final StringBuilder sourceText = new StringBuilder();

  private Repository(Path root) {
    this.root = root;
  }

  static Repository read(Path root) throws IOException {
    Repository repository = new Repository(root);
    for (String module : MODULES) {
      repository.addSources(root.resolve(module).resolve("src"));
    }
    for (Path file : filesIn(root.resolve("deploy"))) {
      repository.fileNames.add(file.getFileName().toString());
      repository.sourceText.append(Files.readString(file)).append('\n');
    }
    return repository;
  }

  private static List<Path> filesIn(Path folder) throws IOException {
    try (Stream<Path> all = Files.walk(folder)) {
      return all.filter(Files::isRegularFile).toList();
    }
  }

  // PagesTest itself is skipped, since it contains names that must not exist.
  private void addSources(Path sources) throws IOException {
    for (Path file : filesIn(sources)) {
      if (file.endsWith(OWN_FILE)) {
        continue;
      }
      fileNames.add(file.getFileName().toString());
      folders.add(file.getParent().toString().replace('\\', '/'));
      addWords(Files.readString(file));
      if (file.toString().endsWith(MODEL_SUFFIX)) {
        WORD.matcher(Files.readString(file))
            .results()
            .forEach(word -> modelWords.add(word.group()));
      }
    }
  }

  private void addWords(String text) {
    sourceText.append(text).append('\n');
    Set<String> wordsOfFile = new HashSet<>();
    WORD.matcher(text).results().forEach(word -> wordsOfFile.add(word.group()));
    words.addAll(wordsOfFile);
    Matcher declarations = DECLARATION.matcher(text);
    while (declarations.find()) {
      wordsByType
          .computeIfAbsent(declarations.group(1), type -> new HashSet<>())
          .addAll(wordsOfFile);
    }
    IMPORT.matcher(text).results().forEach(type -> importedTypes.add(type.group(1)));
  }

  /** Returns whether a file or directory exists, relative to the root or to a page. */
  boolean hasPath(Path page, String path) {
    return Files.exists(root.resolve(path)) || Files.exists(page.resolveSibling(path));
  }

  /** Returns whether a source or deploy file in any directory has this name. */
  boolean hasFileNamed(String name) {
    return fileNames.contains(name);
  }

  /** Returns whether the sources declare or import the type, or the Alloy model contains it. */
  boolean hasType(String name) {
    return wordsByType.containsKey(name)
        || importedTypes.contains(name)
        || modelWords.contains(name);
  }

  boolean hasMember(String type, String member) {
    return wordsByType.getOrDefault(type, Set.of()).contains(member);
  }

  boolean hasWord(String word) {
    return words.contains(word);
  }

  /** Returns whether the sources have a package, named relative to {@code io.moorstage}. */
  boolean hasPackage(String name) {
    String end = "/io/moorstage/" + name.replace('.', '/');
    return folders.stream().anyMatch(folder -> folder.endsWith(end));
  }

  /** Returns whether a source or deploy file contains the text, such as the key of a setting. */
  boolean hasText(String text) {
    return sourceText.indexOf(text) >= 0;
  }

  /** Returns README.md, DEVELOPERS.md and all Markdown pages in docs. */
  List<Path> pages() throws IOException {
    List<Path> pages = new ArrayList<>();
    pages.add(root.resolve("README.md"));
    pages.add(root.resolve("DEVELOPERS.md"));
    for (Path file : filesIn(root.resolve("docs"))) {
      if (file.getFileName().toString().endsWith(".md")) {
        pages.add(file);
      }
    }
    return pages;
  }
}
