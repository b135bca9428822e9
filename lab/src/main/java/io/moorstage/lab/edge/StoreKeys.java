package io.moorstage.lab.edge;

/** Keys of the store's items. */
public final class StoreKeys {
  /** Key of the configuration. */
  public static final String CONFIGURATION = "op/config";

  private StoreKeys() {}

  /** Returns the key of a target's entry. */
  public static String target(String id) {
    return "servers/" + id;
  }

  /** Returns whether a key is that of a target's entry. */
  public static boolean isTarget(String key) {
    return key.startsWith(target(""));
  }

  /** Returns the key that is present while a zone is evacuated. */
  public static String evacuation(String zone) {
    return "op/evacuate/" + zone;
  }
}
