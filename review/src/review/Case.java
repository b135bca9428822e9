package review;

/** A case of the review. */
interface Case {
  /** The first two octets of the addresses that the case uses. */
  String network();

  /**
   * Runs the case.
   *
   * @param disrupted whether the disruption happens; without it the rule must hold
   * @return whether the rule held
   * @throws CannotRunException if the case could not get as far as its check
   */
  boolean run(Fleet fleet, Record record, boolean disrupted) throws Exception;

  /** The case could not get as far as its check. */
  final class CannotRunException extends Exception {
    private static final long serialVersionUID = 1;

    CannotRunException(String message) {
      super(message);
    }
  }

  /** Ends the case as one that could not run, unless a condition holds. */
  static void require(boolean condition, String message) throws CannotRunException {
    if (!condition) {
      throw new CannotRunException(message);
    }
  }
}
