package io.moorstage.policy;

import java.util.Locale;

/** A setting of a target, allowed once in its block. */
enum TargetSetting {
  ZONE,
  SLOTS,
  CONNECTIONS;

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
