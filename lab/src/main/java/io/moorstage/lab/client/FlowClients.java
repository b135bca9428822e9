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
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import javax.annotation.Nullable;

/** Clients on one thread and at one address; each flow has its own port. */
public final class FlowClients implements AutoCloseable {
  /** Interval between two checks of the flows' timers, a hundredth of the shortest timer. */
  public static final int STEP_MS = 2;

  private static final long STEP_NS = TimeUnit.MILLISECONDS.toNanos(STEP_MS);
  private static final int FIRST_PORT = 2_000;
  private static final int LAST_PORT = 60_000;

  /** Length of a request's text; each request advances the flow's sequence by it. */
  private static final int REQUEST_BYTES = 10;

  /** The thread ends within one step of 2 ms; the rest allows for a busy machine. */
  private static final int JOIN_TIMEOUT_MS = 1_000;

  private final int address;
  private final Router router;
  private final Traffic traffic;
  private final ClientListener listener;
  private final IntFunction<StandInTarget> targetBySequence;
  private final DatagramChannel channel;
  private final Selector selector;
  private final Thread thread;
  private final Map<Integer, ClientFlow> flows = new HashMap<>();
  private volatile boolean closed;
  private volatile boolean hasOpenFlows;
  private int nextPort = FIRST_PORT;
  private long nextRequest = 1;

  /**
   * Creates clients that do not send until {@code start} is called.
   *
   * @param address the clients' address
   * @param router selects the balancer for each packet
   * @param traffic the load that the clients generate
   * @param listener receives the clients' events
   * @param targetBySequence returns the target that accepts flows with a sequence number, or null
   *     if there is none
   * @throws IOException if the address can't be bound
   */
  public FlowClients(
      String address,
      Router router,
      Traffic traffic,
      ClientListener listener,
      IntFunction<StandInTarget> targetBySequence)
      throws IOException {
    this.address = Ipv4.number(address);
    this.router = router;
    this.traffic = traffic;
    this.listener = listener;
    this.targetBySequence = targetBySequence;
    this.selector = Selector.open();
    this.channel = DatagramChannel.open().bind(new InetSocketAddress(address, Ports.CLIENT));
    channel.configureBlocking(false);
    channel.register(selector, SelectionKey.OP_READ);
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
      open(plan.get());
    }
    for (Iterator<ClientFlow> all = flows.values().iterator(); all.hasNext(); ) {
      ClientFlow flow = all.next();
      if (!flow.hasEnded()) {
        step(flow, System.nanoTime());
      }
      if (flow.hasEnded()) {
        all.remove();
      }
    }
    hasOpenFlows = !flows.isEmpty();
  }

  private void open(FlowPlan plan) throws IOException {
    ClientFlow flow = new ClientFlow(nextPort, plan, System.nanoTime());
    nextPort = nextPort == LAST_PORT ? FIRST_PORT : nextPort + 1;
    flows.put(flow.port(), flow);
    sendOpening(flow);
  }

  private void step(ClientFlow flow, long nowNs) throws IOException {
    switch (flow.dueAction(nowNs)) {
      case COPY -> {
        flow.recordCopy();
        sendOpening(flow);
      }
      case REQUEST -> {
        flow.startRequest(nextRequest++, nowNs);
        listener.onRequest();
        sendRequest(flow);
      }
      case RETRY -> {
        flow.recordRetry(nowNs);
        sendRequest(flow);
      }
      case GIVE_UP -> fail(flow);
      case END -> flow.end();
      default -> {}
    }
  }

  private void fail(ClientFlow flow) {
    flow.end();
    listener.onFailed(flow);
  }

  private Packets.End clientEndOf(ClientFlow flow) {
    return new Packets.End(address, flow.port());
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
      channel.send(packet, balancer.get());
    }
  }

  private void receive(ByteBuffer packet) throws IOException {
    packet.clear();
    while (channel.receive(packet) != null) {
      handle(packet.flip());
      packet.clear();
    }
  }

  private void handle(ByteBuffer packet) {
    ClientFlow flow = flows.get(Packets.destinationPort(packet));
    if (flow == null || flow.hasEnded()) {
      return;
    }
    if (Packets.isReset(packet)) {
      listener.onReset(flow);
      fail(flow);
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
    channel.close();
    selector.close();
  }
}
