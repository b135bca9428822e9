package review;

import java.nio.file.Path;
import java.util.Map;

/**
 * Runs one case: {@code Main NAME RECORD}. Exits with 0 if the rule held, 1 if it was broken, and 2
 * if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
 */
final class Main {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;

  private static final Map<String, Case> CASES =
      Map.of(
          "moved-route", new MovedRoute(),
          "oversized-entry", new OversizedEntry(),
          "foreign-entry", new ForeignEntry());

  private Main() {}

  public static void main(String[] arguments) throws Exception {
    Case reviewed = CASES.get(arguments[0]);
    boolean disrupted = !"0".equals(System.getenv("TROUBLE"));
    int exitCode;
    try (Record record = new Record(Path.of(arguments[1]));
        Fleet fleet = new Fleet(reviewed.network(), record)) {
      try {
        exitCode = reviewed.run(fleet, record, disrupted) ? HELD : BROKEN;
        record.add(exitCode == HELD ? "the rule held" : "the rule was broken");
      } catch (Case.CannotRunException e) {
        record.add("the case could not run: " + e.getMessage());
        exitCode = NOT_RUN;
      }
    } catch (Exception e) {
      e.printStackTrace();
      exitCode = NOT_RUN;
    }
    System.exit(exitCode);
  }
}
