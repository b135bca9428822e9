package io.moorstage.lab.store;

/** How the store handles calls. */
public enum StoreMode {
  /** Responds as the platform's documentation specifies. */
  SERVING,
  /** Rejects each call with status 503. */
  BUSY,
  /** Accepts calls, and responds only after 10 s, when the caller has timed out. */
  SILENT,
  /** Delays each response by 400 ms. */
  SLOW,
  /** Returns the complete history in each response, also what the caller has already received. */
  REPLAYING
}
