package review2;

/** Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
public final class Case {
  /** Whether the run has the disruption. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  interface Body {
    /** Returns whether the rule was broken. */
    boolean run(String folder) throws Exception;
  }

  public static void main(String[] arguments) {
    int code = 2;
    try {
      Body body =
          switch (arguments[0]) {
            case "port-config" -> new PortConfig();
            case "rolling" -> new RollingRestart();
            case "port-pool" -> new PortPool();
            case "big-entries" -> new BigEntries();
            case "successor" -> new Successor();
            default -> throw new IllegalArgumentException(arguments[0]);
          };
      code = body.run(arguments[1]) ? 1 : 0;
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.out.println(code == 1 ? "rule broken" : code == 0 ? "rule held" : "could not run");
    System.exit(code);
  }
}
