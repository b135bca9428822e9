package io.moorstage.lab.edge;

/** Headers of the store's responses. */
public final class StoreHeaders {
  /** A number that increases by one each time the store is restored from an older copy. */
  public static final String ERA = "Store-Era";

  private StoreHeaders() {}
}
