package io.moorstage.lab.docs;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Checks that each name in backquotes and each link on a documentation page refers to something
 * that exists in the repository. It guards against pages that become outdated when code is renamed.
 */
final class PagesTest {
  private static final Path ROOT = Path.of("..");

  private static final Pattern FENCED = Pattern.compile("(?ms)^```.*?^```");
  private static final Pattern QUOTED = Pattern.compile("`([^`\n]+)`");
  private static final Pattern LINK = Pattern.compile("\\]\\(([^)#]+)(?:#[^)]*)?\\)");

  /** A path relative to the root, optionally followed by arguments. */
  private static final Pattern PATH =
      Pattern.compile(
          "(?:\\./)?((?:build-tools|core|deploy|docs|examples|forwarding|journal|lab|platform"
              + "|policy|spec)/[\\w./-]*)(?: .*)?");

  /** A script in the root directory, optionally followed by arguments. */
  private static final Pattern SCRIPT = Pattern.compile("\\./([\\w-]+)(?: .*)?");

  private static final Pattern FILE_NAME =
      Pattern.compile("[\\w-]+\\.(?:als|java|lst|md|policy|toml|txt|yaml)");

  private static final Pattern TYPE = Pattern.compile("[A-Z][a-z0-9]+(?:[A-Z][a-z0-9]+)+");

  private static final Pattern MEMBER = Pattern.compile("([A-Z][A-Za-z0-9]+)\\.([A-Za-z]\\w+)");

  /** A method name in camel case with at least three words; most of these are tests. */
  private static final Pattern METHOD = Pattern.compile("[a-z]+(?:[A-Z][a-z0-9]*){2,}");

  private static final Pattern CONSTANT = Pattern.compile("[A-Z]+(?:_[A-Z]+)+");

  /** A package below io.moorstage, or the key of a setting. */
  private static final Pattern DOTTED = Pattern.compile("[a-z]+(?:\\.[a-z-]+)+");

  @TestFactory
  Stream<DynamicTest> namesOnPagesExist() throws IOException {
    Repository repository = Repository.read(ROOT);
    return repository.pages().stream()
        .map(page -> DynamicTest.dynamicTest(nameOf(page), () -> verify(repository, page)));
  }

  @Test
  void nonexistentNamesAreReported() throws IOException {
    Repository repository = Repository.read(ROOT);
    Path page = ROOT.resolve("README.md");
    String text =
        "`FlowNobody` `FlowBalancer.noSuchMember` `noSuchTestIsThere` `NO_SUCH_RULE` `./no-script`"
            + " `build-tools/no-tool ARGUMENT` `no-such-file.toml` `core.nothing` [page](docs/NO.md)"
            + " `FlowBalancer` `docs/SOAK.md`";

    assertThat(missing(repository, page, text))
        .containsExactly(
            "FlowNobody",
            "FlowBalancer.noSuchMember",
            "noSuchTestIsThere",
            "NO_SUCH_RULE",
            "./no-script",
            "build-tools/no-tool ARGUMENT",
            "no-such-file.toml",
            "core.nothing",
            "docs/NO.md");
  }

  private static String nameOf(Path page) {
    return ROOT.relativize(page).toString();
  }

  private static void verify(Repository repository, Path page) throws IOException {
    String text = FENCED.matcher(Files.readString(page)).replaceAll("");
    assertWithMessage("names in %s that do not exist", nameOf(page))
        .that(missing(repository, page, text))
        .isEmpty();
  }

  private static List<String> missing(Repository repository, Path page, String text) {
    List<String> missing = new ArrayList<>();
    Matcher quoted = QUOTED.matcher(text);
    while (quoted.find()) {
      if (!exists(repository, page, quoted.group(1))) {
        missing.add(quoted.group(1));
      }
    }
    Matcher links = LINK.matcher(text);
    while (links.find()) {
      if (!Files.exists(page.resolveSibling(links.group(1)))) {
        missing.add(links.group(1));
      }
    }
    return missing;
  }

  private static boolean exists(Repository repository, Path page, String name) {
    Matcher path = PATH.matcher(name);
    if (path.matches()) {
      // Capital letters are a placeholder, and files in target/ exist only after a build.
      boolean isUnchecked =
          path.group(1).matches(".*/[A-Z]+(/.*)?") || path.group(1).contains("target/");
      return isUnchecked || repository.hasPath(page, path.group(1));
    }
    Matcher script = SCRIPT.matcher(name);
    if (script.matches()) {
      return repository.hasPath(page, script.group(1));
    }
    if (FILE_NAME.matcher(name).matches()) {
      return repository.hasPath(page, name) || repository.hasFileNamed(name);
    }
    if (TYPE.matcher(name).matches()) {
      return repository.hasType(name);
    }
    Matcher member = MEMBER.matcher(name);
    if (member.matches()) {
      return repository.hasMember(member.group(1), member.group(2));
    }
    if (METHOD.matcher(name).matches() || CONSTANT.matcher(name).matches()) {
      return repository.hasWord(name);
    }
    if (DOTTED.matcher(name).matches()) {
      return repository.hasPackage(name) || repository.hasText(name);
    }
    return true;
  }
}
