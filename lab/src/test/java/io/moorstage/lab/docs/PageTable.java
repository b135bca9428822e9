package io.moorstage.lab.docs;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A table in a Markdown page.
 *
 * @param headings the names of its columns
 * @param rows its rows without headings, each with one cell per column
 */
record PageTable(List<String> headings, List<List<String>> rows) {
  private static final Pattern CODE = Pattern.compile("`([^`]+)`");

  /** Returns the table of a page whose heading row begins with the given text. */
  static PageTable find(String page, String firstRow) {
    List<List<String>> found = new ArrayList<>();
    for (String line : page.substring(page.indexOf(firstRow)).split("\n", -1)) {
      if (!line.startsWith("|")) {
        break;
      }
      found.add(cells(line));
    }
    // The second line separates the headings from the rows.
    return new PageTable(found.get(0), found.subList(2, found.size()));
  }

  private static List<String> cells(String line) {
    List<String> cells = new ArrayList<>();
    for (String cell : line.substring(1, line.lastIndexOf('|')).split("\\|", -1)) {
      cells.add(cell.trim());
    }
    return cells;
  }

  /** Returns the cells of a column. */
  List<String> column(String heading) {
    int index = headings.indexOf(heading);
    return rows.stream().map(row -> row.get(index)).collect(Collectors.toList());
  }

  /** Returns all inline code in a column. */
  List<String> codeIn(String heading) {
    return code(String.join(" ", column(heading)));
  }

  /** Returns all inline code in a text. */
  static List<String> code(String text) {
    return CODE.matcher(text).results().map(PageTable::content).collect(Collectors.toList());
  }

  private static String content(MatchResult code) {
    return code.group(1);
  }
}
