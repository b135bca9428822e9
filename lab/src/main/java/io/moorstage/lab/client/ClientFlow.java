package io.moorstage.lab.client;

import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.targets.StandInTarget;
import java.util.Optional;
import javax.annotation.Nullable;

/** The state of one flow of a client. Confined to the clients' thread. */
public final class ClientFlow {
  /** The opening packet consumes one sequence number. */
  private static final int FIRST_DATA = Packets.CLIENT_SEQUENCE + 1;

  /** When copies of the opening packet follow the first one; from the platform's documentation. */
  private static final int[] COPIES_AFTER_MS = {200, 600};

  /** When a client gives up opening a flow, from the platform's documentation. */
  private static final int OPENING_TIMEOUT_MS = 1_400;

  /** The time to the first retry of a request, from the platform's documentation. */
  private static final int FIRST_RETRY_MS = 200;

  /** The longest time between two retries, from the platform's documentation. */
  private static final int MAX_RETRY_MS = 1_600;

  /** The time-out of the routes, 3 s, and 1 s for packets in flight. */
  private static final int REQUEST_TIMEOUT_MS = 4_000;

  private static final long NS_PER_MS = 1_000_000;

  private final int port;
  private final FlowPlan plan;
  private final long openedNs;
  private final long openedMs = System.currentTimeMillis();
  private int requestsLeft;
  private int copies;
  @Nullable private StandInTarget target;
  private int sequence = FIRST_DATA;
  private long request;
  private long requestStartNs;
  private long attemptedMs;
  private boolean hasSentRequest;
  private long lastSentNs;
  private int retryMs;
  private long idleUntilNs;
  private boolean ended;

  /** The action that is due for a flow. */
  enum Action {
    NOTHING,
    COPY,
    REQUEST,
    RETRY,
    GIVE_UP,
    END
  }

  /** Creates a flow whose opening is sent now. */
  public ClientFlow(int port, FlowPlan plan, long nowNs) {
    this.port = port;
    this.plan = plan;
    this.attemptedMs = plan.firstAttemptMs();
    this.requestsLeft = plan.requests();
    this.openedNs = nowNs;
  }

  /** Returns the client's port, which identifies the flow. */
  public int port() {
    return port;
  }

  /** Returns the target that has accepted the flow, if any. */
  public Optional<StandInTarget> target() {
    return Optional.ofNullable(target);
  }

  /** Returns the destination address and port. */
  public Packets.End service() {
    return plan.service();
  }

  /** Returns when the opening was first sent, in milliseconds since the epoch. */
  public long openedMs() {
    return openedMs;
  }

  /**
   * Returns when the current request was first attempted, on this flow or an earlier one, in
   * milliseconds since the epoch.
   */
  public long attemptedMs() {
    return attemptedMs;
  }

  /** Returns the flow that retries the current request, and then carries the remaining ones. */
  FlowPlan retryPlan() {
    int pending = request == 0 ? 0 : 1;
    long number = request == 0 ? plan.firstNumber() : request;
    int retries = plan.retries() - 1;
    return new FlowPlan(service(), requestsLeft + pending, retries, attemptedMs, number);
  }

  long firstNumber() {
    return plan.firstNumber();
  }

  boolean isFirstRequestDue() {
    return !hasSentRequest;
  }

  boolean mayRetry() {
    return plan.retries() > 0;
  }

  int copies() {
    return copies;
  }

  int sequence() {
    return sequence;
  }

  long request() {
    return request;
  }

  boolean hasEnded() {
    return ended;
  }

  boolean isOpen() {
    return target != null;
  }

  Action dueAction(long nowNs) {
    if (target == null) {
      return dueWhileOpening((nowNs - openedNs) / NS_PER_MS);
    }
    if (request != 0) {
      return dueWhileRequestPending(nowNs);
    }
    if (requestsLeft == 0) {
      return Action.END;
    }
    return nowNs >= idleUntilNs ? Action.REQUEST : Action.NOTHING;
  }

  private Action dueWhileOpening(long ageMs) {
    if (ageMs > OPENING_TIMEOUT_MS) {
      return Action.GIVE_UP;
    }
    boolean copyIsDue = copies < COPIES_AFTER_MS.length && ageMs > COPIES_AFTER_MS[copies];
    return copyIsDue ? Action.COPY : Action.NOTHING;
  }

  private Action dueWhileRequestPending(long nowNs) {
    if (nowNs - requestStartNs > REQUEST_TIMEOUT_MS * NS_PER_MS) {
      return Action.GIVE_UP;
    }
    return nowNs - lastSentNs > retryMs * NS_PER_MS ? Action.RETRY : Action.NOTHING;
  }

  void recordCopy() {
    copies++;
  }

  /** Records the target that has accepted the flow. */
  public void recordAcceptance(StandInTarget acceptingTarget) {
    target = acceptingTarget;
  }

  void startRequest(long number, long nowNs) {
    if (hasSentRequest) {
      attemptedMs = System.currentTimeMillis();
    }
    hasSentRequest = true;
    request = number;
    requestsLeft--;
    requestStartNs = nowNs;
    lastSentNs = nowNs;
    retryMs = FIRST_RETRY_MS;
  }

  void recordRetry(long nowNs) {
    lastSentNs = nowNs;
    retryMs = Math.min(2 * retryMs, MAX_RETRY_MS);
  }

  /** Records the response to the request; returns the request's latency in nanoseconds. */
  long recordResponse(int requestBytes, int thinkTimeMs, long nowNs) {
    request = 0;
    sequence += requestBytes;
    idleUntilNs = nowNs + thinkTimeMs * NS_PER_MS;
    return nowNs - requestStartNs;
  }

  void end() {
    ended = true;
  }
}
