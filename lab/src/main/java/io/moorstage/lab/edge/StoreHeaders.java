package io.moorstage.lab.edge;

/** Headers of the store's answers. */
public final class StoreHeaders {
  /** Rises by one each time that the store comes back from an older copy of itself. */
  public static final String ERA = "Store-Era";

  private StoreHeaders() {}
}
