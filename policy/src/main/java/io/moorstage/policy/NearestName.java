package io.moorstage.policy;

import java.util.Collection;
import javax.annotation.Nullable;

/** Finds the most likely correction of a misspelled name. */
public final class NearestName {
  /**
   * The maximum edit distance of a suggestion, since more distant names are unlikely to be meant.
   * For names shorter than 5 characters the limit is half their length, rounded up.
   */
  private static final int MAX_DISTANCE = 3;

  private NearestName() {}

  /**
   * Returns the candidate with the smallest edit distance, the first one if there are several, or
   * null if none is near enough or the name is longer than {@link PolicyCompiler#MAX_NAME_LENGTH}.
   */
  @Nullable
  public static String find(String name, Collection<String> candidates) {
    if (name.length() > PolicyCompiler.MAX_NAME_LENGTH) {
      return null;
    }
    String nearest = null;
    int distanceLimit = Math.min(MAX_DISTANCE, (name.length() + 1) / 2) + 1;
    for (String candidate : candidates) {
      if (Math.abs(candidate.length() - name.length()) >= distanceLimit) {
        continue;
      }
      int distance = editDistance(name, candidate);
      if (distance < distanceLimit) {
        distanceLimit = distance;
        nearest = candidate;
      }
    }
    return nearest;
  }

  /** Returns the Levenshtein distance, which counts insertions, deletions and substitutions. */
  static int editDistance(String from, String to) {
    int[] previous = new int[to.length() + 1];
    int[] current = new int[to.length() + 1];
    for (int j = 0; j <= to.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= from.length(); i++) {
      current[0] = i;
      for (int j = 1; j <= to.length(); j++) {
        int substitutionCost = previous[j - 1] + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
        current[j] = Math.min(substitutionCost, Math.min(previous[j], current[j - 1]) + 1);
      }
      int[] completedRow = previous;
      previous = current;
      current = completedRow;
    }
    return previous[to.length()];
  }
}
