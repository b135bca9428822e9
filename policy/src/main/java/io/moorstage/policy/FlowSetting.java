package io.moorstage.policy;

import java.util.Locale;

/** A setting for the flows to one address, allowed once in the block of its service or route. */
enum FlowSetting {
  CLASS,
  DEADLINE;

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
