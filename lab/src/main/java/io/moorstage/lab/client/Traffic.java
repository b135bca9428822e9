package io.moorstage.lab.client;

import java.util.Optional;

/** Defines the load that clients generate; called on the clients' thread. */
public interface Traffic {
  /** Returns the flow to open now, if any; called every {@link FlowClients#STEP_MS}. */
  Optional<FlowPlan> next(long nowMs);

  /** Returns the time between a response and the flow's next request, in milliseconds. */
  int thinkTimeMs();
}
