package io.moorstage.lab.client;

import io.moorstage.lab.edge.Ipv4;
import io.moorstage.lab.edge.Packets;
import io.moorstage.lab.process.Ports;
import io.moorstage.lab.router.Router;
import io.moorstage.lab.targets.StandInTarget;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import javax.annotation.Nullable;

/** Clients on one thread, at one or more addresses; each flow has its own port. */
public final class FlowClients implements AutoCloseable {
  /** Interval between two checks of the flows' timers, a hundredth of the shortest timer. */
  public static final int STEP_MS = 2;

  private static final long STEP_NS = TimeUnit.MILLISECONDS.toNanos(STEP_MS);
  private static final int FIRST_PORT = 2_000;
  private static final int LAST_PORT = 60_000;

  /** The shortest time to a further attempt, from the platform's documentation. */
  private static final long RETRY_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Length of a request's text; each request advances the flow's sequence by it. */
  private static final int REQUEST_BYTES = 10;

  /** The thread ends within one step of 2 ms; the rest allows for a busy machine. */
  private static final int JOIN_TIMEOUT_MS = 1_000;

  private final List<String> addresses;
  private final Router router;
  private final Traffic traffic;
  private final ClientListener listener;
  private final IntFunction<StandInTarget> targetBySequence;
  private final List<DatagramChannel> channels = new ArrayList<>();
  private final Selector selector;
  private final Thread thread;
  private final Map<Integer, ClientFlow> flows = new HashMap<>();
  private volatile boolean closed;
  private volatile boolean hasOpenFlows;
  private final Deque<Retry> retries = new ArrayDeque<>();
  private int nextPort = FIRST_PORT;
  private long nextRequest = 1;

  /**
   * A new flow that is due for a request that has not run.
   *
   * @param port port of the flow that has failed
   */
  private record Retry(long dueNs, FlowPlan plan, int port) {}

  /**
   * Creates clients that do not send until {@code start} is called.
   *
   * @param addresses the clients' addresses, of which each flow has one
   * @param router selects the balancer for each packet
   * @param traffic the load that the clients generate
   * @param listener receives the clients' events
   * @param targetBySequence returns the target that accepts flows with a sequence number, or null
   *     if there is none
   * @throws IOException if an address can't be bound
   */
  public FlowClients(
      List<String> addresses,
      Router router,
      Traffic traffic,
      ClientListener listener,
      IntFunction<StandInTarget> targetBySequence)
      throws IOException {
    this.addresses = List.copyOf(addresses);
    this.router = router;
    this.traffic = traffic;
    this.listener = listener;
    this.targetBySequence = targetBySequence;
    this.selector = Selector.open();
    for (String address : addresses) {
      DatagramChannel channel =
          DatagramChannel.open().bind(new InetSocketAddress(address, Ports.CLIENT));
      channels.add(channel);
      channel.configureBlocking(false);
      channel.register(selector, SelectionKey.OP_READ);
    }
    thread = new Thread(this::run, "clients");
    thread.setDaemon(true);
  }

  /** Starts the clients' thread. */
  public void start() {
    thread.start();
  }

  /** Returns whether a flow was open at the last step. */
  public boolean hasOpenFlows() {
    return hasOpenFlows;
  }

  private void run() {
    ByteBuffer packet = ByteBuffer.allocate(Packets.BUFFER_BYTES);
    try {
      while (!closed) {
        step();
        long nextStepNs = System.nanoTime() + STEP_NS;
        do {
          selector.select(STEP_MS);
          selector.selectedKeys().clear();
          receive(packet);
        } while (System.nanoTime() - nextStepNs < 0);
      }
    } catch (IOException | RuntimeException e) {
      listener.onError(e);
    }
  }

  private void step() throws IOException {
    Optional<FlowPlan> plan = traffic.next(System.currentTimeMillis());
    if (plan.isPresent()) {
      open(plan.get().firstAttempt(System.currentTimeMillis(), nextRequest++), takePort());
    }
    while (!retries.isEmpty() && System.nanoTime() - retries.peekFirst().dueNs() >= 0) {
      Retry retry = retries.removeFirst();
      open(retry.plan(), takePortLike(retry.port()));
    }
    for (Iterator<ClientFlow> all = flows.values().iterator(); all.hasNext(); ) {
      ClientFlow flow = all.next();
      if (!flow.hasEnded()) {
        step(flow, System.nanoTime());
      }
      if (flow.hasEnded()) {
        listener.onEnd(flow);
        all.remove();
      }
    }
    hasOpenFlows = !flows.isEmpty();
  }

  private int takePort() {
    int port = nextPort;
    nextPort = nextPort == LAST_PORT ? FIRST_PORT : nextPort + 1;
    return port;
  }

  /** Returns a port of the same address as another one, as clients retry from their address. */
  private int takePortLike(int other) {
    int port = takePort();
    while (addressIndex(port) != addressIndex(other)) {
      port = takePort();
    }
    return port;
  }

  private int addressIndex(int port) {
    return port % addresses.size();
  }

  private void open(FlowPlan plan, int port) throws IOException {
    ClientFlow flow = new ClientFlow(port, plan, System.nanoTime());
    flows.put(flow.port(), flow);
    listener.onOpen(flow);
    sendOpening(flow);
  }

  private void step(ClientFlow flow, long nowNs) throws IOException {
    switch (flow.dueAction(nowNs)) {
      case COPY -> {
        flow.recordCopy();
        sendOpening(flow);
      }
      case REQUEST -> {
        flow.startRequest(flow.isFirstRequestDue() ? flow.firstNumber() : nextRequest++, nowNs);
        listener.onRequest(flow);
        sendRequest(flow);
      }
      case RETRY -> {
        flow.recordRetry(nowNs);
        sendRequest(flow);
      }
      case GIVE_UP -> fail(flow, !flow.isOpen());
      case END -> flow.end();
      default -> {}
    }
  }

  private void fail(ClientFlow flow, boolean hasNotRun) {
    flow.end();
    if (hasNotRun && flow.mayRetry()) {
      retries.addLast(new Retry(System.nanoTime() + RETRY_DELAY_NS, flow.retryPlan(), flow.port()));
    } else {
      listener.onRequestEnd(flow, false);
    }
    listener.onFailed(flow);
  }

  private Packets.End clientEndOf(ClientFlow flow) {
    return new Packets.End(Ipv4.number(addresses.get(addressIndex(flow.port()))), flow.port());
  }

  private void sendOpening(ClientFlow flow) throws IOException {
    send(flow, Packets.open(clientEndOf(flow), flow.service(), flow.copies()));
  }

  private void sendRequest(ClientFlow flow) throws IOException {
    int acknowledged = flow.target().orElseThrow().start().sequence() + 1;
    String text = RequestText.request(flow.request());
    send(
        flow, Packets.data(clientEndOf(flow), flow.service(), flow.sequence(), acknowledged, text));
  }

  private void send(ClientFlow flow, ByteBuffer packet) throws IOException {
    listener.onSend(packet);
    Optional<InetSocketAddress> balancer = router.balancerFor(flow.port());
    if (balancer.isPresent()) {
      channels.get(addressIndex(flow.port())).send(packet, balancer.get());
    }
  }

  private void receive(ByteBuffer packet) throws IOException {
    for (DatagramChannel channel : channels) {
      packet.clear();
      while (channel.receive(packet) != null) {
        handle(packet.flip());
        packet.clear();
      }
    }
  }

  private void handle(ByteBuffer packet) {
    ClientFlow flow = flows.get(Packets.destinationPort(packet));
    if (flow == null || flow.hasEnded()) {
      if (Packets.isAccepted(packet)) {
        listener.onLateAcceptance(Packets.destinationPort(packet));
      }
      return;
    }
    if (Packets.isReset(packet)) {
      listener.onReset(flow);
      fail(flow, !flow.isOpen());
    } else if (Packets.isAccepted(packet)) {
      handleAcceptance(flow, targetBySequence.apply(Packets.sequence(packet)));
    } else {
      handleResponse(flow, Packets.text(packet));
    }
  }

  private void handleAcceptance(ClientFlow flow, @Nullable StandInTarget target) {
    if (flow.isOpen()) {
      return;
    }
    if (target == null) {
      listener.onUnknownAcceptance(flow);
      flow.end();
    } else {
      flow.recordAcceptance(target);
    }
  }

  private void handleResponse(ClientFlow flow, String text) {
    Optional<RequestText.Response> response = RequestText.parseResponse(text);
    boolean fromOwnTarget =
        response.isPresent() && flow.isOpen() && response.get().targetId().equals(targetId(flow));
    // A repeated response of the flow's own target is allowed; a response of another target is not.
    if (!fromOwnTarget) {
      listener.onForeignResponse(flow, text);
    }
    if (response.isPresent() && flow.request() != 0 && response.get().request() == flow.request()) {
      if (!response.get().hasRun()) {
        fail(flow, true);
        return;
      }
      listener.onRequestEnd(flow, true);
      listener.onServed(
          flow.recordResponse(REQUEST_BYTES, traffic.thinkTimeMs(), System.nanoTime()));
    }
  }

  private static String targetId(ClientFlow flow) {
    return flow.target().orElseThrow().start().id();
  }

  /** Stops the clients without closing open flows. */
  @Override
  public void close() throws IOException, InterruptedException {
    closed = true;
    thread.join(JOIN_TIMEOUT_MS);
    for (DatagramChannel channel : channels) {
      channel.close();
    }
    selector.close();
  }
}
