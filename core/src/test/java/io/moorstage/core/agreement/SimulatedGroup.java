package io.moorstage.core.agreement;

import static com.google.common.truth.Truth.assertWithMessage;

import io.moorstage.core.agreement.cluster.ChangeVoters;
import io.moorstage.core.agreement.cluster.Command;
import io.moorstage.core.agreement.cluster.CommandDecodingException;
import io.moorstage.core.agreement.cluster.CommandType;
import io.moorstage.core.agreement.cluster.MemberRegistration;
import io.moorstage.core.agreement.cluster.MemberRole;
import io.moorstage.core.agreement.cluster.StateVersion;
import io.moorstage.core.membership.ChangeOutcome;
import io.moorstage.core.membership.ChangeSession;
import io.moorstage.core.membership.MemberSession;
import io.moorstage.core.membership.MemberSettings;
import io.moorstage.core.message.Message;
import io.moorstage.core.model.Endpoint;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Daemons of one group on a simulated network in one thread. Each daemon has a clock of its own
 * that runs a little fast or slow. The promises are checked after each event.
 */
final class SimulatedGroup {
  static final long MILLIS = 1_000_000;
  private static final long TICK = 20 * MILLIS;
  private static final double MAX_DRIFT = 0.01;
  private static final int CONTROL_PORT = 9000;

  /** Where a member's data path is; a message of the control protocol is not understood there. */
  private static final int DATA_PORT = 9001;

  final UniformRandomProvider random;
  final List<Node> nodes = new ArrayList<>();
  final List<ChangeOutcome> outcomes = new ArrayList<>();
  final Set<Long> committedFormations = new HashSet<>();
  private final ReferenceCodec codec = new ReferenceCodec();
  private final Set<String> cutLinks = new HashSet<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, VoterId> leaders = new HashMap<>();
  private final Map<String, LogEntry> committed = new HashMap<>();
  private final ReplicaSettings settings;
  private StateVersion toldInForce = StateVersion.NONE;
  private long sequence;
  private long incarnations = 1;
  long now;
  double lossRate;
  double duplicateRate;
  long maxDelay = 3 * MILLIS;

  SimulatedGroup(long seed, int voters, int others) {
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    List<Endpoint> initial = new ArrayList<>();
    for (int i = 0; i < voters; i++) {
      initial.add(endpoint(i));
    }
    settings =
        ReplicaSettings.builder(initial)
            .maxLogEntries(20)
            .chunkBytes(30)
            .inlineDeltaBytes(random.nextBoolean() ? 200 : 0)
            .voterReplaceTimeoutNanos(4_000 * MILLIS)
            .build();
    for (int i = 0; i < voters + others; i++) {
      nodes.add(new Node(i));
    }
  }

  private static Endpoint endpoint(int index) {
    return Endpoint.of(0x7F000001 + index, CONTROL_PORT);
  }

  /** Returns what each daemon knows, for a failure's message. */
  String describe() {
    StringBuilder text = new StringBuilder();
    for (Node node : nodes) {
      Replica replica = node.replica;
      text.append(replica.identity())
          .append(node.isUp() ? " up " : " down ")
          .append(replica.role())
          .append(" formation=")
          .append(replica.formationId())
          .append(" term=")
          .append(replica.term())
          .append(" commit=")
          .append(replica.commitIndex())
          .append(" voters=")
          .append(replica.voters())
          .append(" leased=")
          .append(node.session.holdsLease(node.clock()))
          .append(" version=")
          .append(node.session.state().version())
          .append(" leader=")
          .append(node.session.leader())
          .append('\n');
    }
    return text.toString();
  }

  /** Runs until a condition holds; fails if it does not within a time. */
  void runUntil(String what, long limitNanos, BooleanSupplier condition) {
    long end = now + limitNanos;
    while (!condition.getAsBoolean()) {
      assertWithMessage("%s within %s ms", what, limitNanos / MILLIS).that(now).isLessThan(end);
      step();
    }
  }

  void runFor(long nanos) {
    long end = now + nanos;
    while (now < end) {
      step();
    }
  }

  private void step() {
    Event event = events.remove();
    now = event.at;
    event.action.run();
    check();
  }

  private void at(long time, Runnable action) {
    events.add(new Event(time, sequence++, action));
  }

  void cut(int from, int to) {
    cutLinks.add(from + ">" + to);
  }

  void cutBothWays(int left, int right) {
    cut(left, right);
    cut(right, left);
  }

  void heal() {
    cutLinks.clear();
  }

  private void transmit(int from, Endpoint destination, Message message) {
    int to = destination.ipv4() - 0x7F000001;
    boolean lost = from != to && random.nextDouble() < lossRate;
    if (lost || destination.port() != CONTROL_PORT || cutLinks.contains(from + ">" + to)) {
      return;
    }
    int copies = random.nextDouble() < duplicateRate ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = MILLIS / 2 + random.nextLong(maxDelay);
      at(now + delay, () -> nodes.get(to).receive(endpoint(from), message));
    }
  }

  Node leader() {
    for (Node node : nodes) {
      if (node.isUp() && node.replica.holdsLeaderLease(node.clock())) {
        return node;
      }
    }
    return null;
  }

  boolean allLeasedOnNewest() {
    Node leader = leader();
    if (leader == null) {
      return false;
    }
    StateVersion newest = leader.replica.clusterState().version();
    for (Node node : nodes) {
      boolean leased = node.isUp() && node.session.holdsLease(node.clock());
      if (!leased || !node.session.state().version().equals(newest)) {
        return false;
      }
    }
    return leader.replica.clusterState().members().size() == nodes.size();
  }

  /** Returns whether each daemon that is up holds a lease of one leader other than a given one. */
  boolean allUpLeasedByAnotherThan(Node old) {
    Node leader = leader();
    if (leader == null || leader == old) {
      return false;
    }
    for (Node node : nodes) {
      boolean follows = endpoint(leader.index).equals(node.session.leader());
      if (node.isUp() && !(follows && node.session.holdsLease(node.clock()))) {
        return false;
      }
    }
    return true;
  }

  /** Voters as the leader has them are all up, and this many. */
  boolean hasFullVoters(int count) {
    Node leader = leader();
    if (leader == null || leader.replica.voters().size() != count) {
      return false;
    }
    for (VoterId voter : leader.replica.voters()) {
      Node node = nodes.get(voter.endpoint().ipv4() - 0x7F000001);
      boolean current = node.isUp() && node.replica.identity().equals(voter);
      if (!current || node.replica.commitIndex() < leader.replica.commitIndex()) {
        return false;
      }
    }
    return true;
  }

  private void check() {
    for (Node node : nodes) {
      if (node.isUp()) {
        checkLeader(node);
        checkCommitted(node);
        StateVersion inForce = node.replica.inForce(node.clock());
        toldInForce = inForce.isAtLeast(toldInForce) ? inForce : toldInForce;
      }
    }
    for (Node node : nodes) {
      if (node.isUp() && node.session.holdsLease(node.clock())) {
        StateVersion version = node.session.state().version();
        assertWithMessage("%s acts on %s, in force %s", node.index, version, toldInForce)
            .that(version.isAtLeast(toldInForce))
            .isTrue();
      }
    }
  }

  private void checkLeader(Node node) {
    if (node.replica.role() == ReplicaRole.LEADER) {
      String term = node.replica.formationId() + "/" + node.replica.term();
      VoterId known = leaders.putIfAbsent(term, node.replica.identity());
      assertWithMessage("leader of term %s", term)
          .that(known == null ? node.replica.identity() : known)
          .isEqualTo(node.replica.identity());
    }
  }

  private void checkCommitted(Node node) {
    Replica replica = node.replica;
    if (replica.commitIndex() > 0) {
      committedFormations.add(replica.formationId());
    }
    for (long i = node.checkedIndex + 1; i <= replica.commitIndex(); i++) {
      LogEntry entry = replica.entry(i);
      if (entry != null) {
        LogEntry known = committed.putIfAbsent(replica.formationId() + "/" + i, entry);
        assertWithMessage("term of committed entry %s at %s", i, node.index)
            .that(entry.term())
            .isEqualTo(known == null ? entry.term() : known.term());
        assertWithMessage("committed entry %s at %s", i, node.index)
            .that(content(entry))
            .isEqualTo(content(known == null ? entry : known));
      }
    }
    node.checkedIndex = Math.max(node.checkedIndex, replica.commitIndex());
  }

  /** Each replica encodes the first entry, which names the voters, by itself. */
  private Object content(LogEntry entry) {
    if (entry.type() != CommandType.CHANGE_VOTERS) {
      return ByteBuffer.wrap(entry.command());
    }
    try {
      return codec.decode(entry.command(), ChangeVoters.class).voters();
    } catch (CommandDecodingException e) {
      throw new AssertionError(e);
    }
  }

  /** One process: a replica for the first nodes, and a member session. */
  final class Node {
    final int index;
    final double rate;
    Replica replica;
    MemberSession session;
    ChangeSession changes;
    private boolean paused;
    private boolean down;
    private long run;
    private long checkedIndex;
    private final List<Runnable> waiting = new ArrayList<>();

    Node(int index) {
      this.index = index;
      this.rate = 1 + (random.nextDouble() * 2 - 1) * MAX_DRIFT;
      start();
    }

    boolean isUp() {
      return !paused && !down;
    }

    long clock() {
      return (long) (now * rate) + index * 1_000 * MILLIS;
    }

    void start() {
      down = false;
      paused = false;
      waiting.clear();
      checkedIndex = 0;
      run++;
      long incarnation = incarnations++;
      Endpoint self = endpoint(index);
      String zone = "zone" + index % 3;
      replica =
          new Replica(
              new VoterId("node" + index, incarnation * 1_000, self, zone),
              settings,
              codec,
              (to, message) -> transmit(index, to, message),
              random,
              clock());
      MemberRegistration registration =
          new MemberRegistration(
              "node" + index,
              incarnation,
              MemberRole.BALANCER,
              Endpoint.of(self.ipv4(), DATA_PORT),
              zone,
              new int[0]);
      StateVersion[] last = {StateVersion.NONE};
      session =
          new MemberSession(
              registration,
              settings.initialVoters(),
              MemberSettings.DEFAULT,
              codec,
              (to, message) -> transmit(index, to, message),
              random,
              state -> {
                assertWithMessage("newer").that(state.version().isAtLeast(last[0])).isTrue();
                last[0] = state.version();
              },
              clock());
      changes =
          new ChangeSession(session.voters(), codec, (to, message) -> transmit(index, to, message));
      scheduleTick(run);
    }

    private void scheduleTick(long ofRun) {
      at(
          now + TICK,
          () -> {
            if (ofRun == run) {
              run(this::tick);
              scheduleTick(ofRun);
            }
          });
    }

    private void tick() {
      replica.onTick(clock());
      session.onTick(clock());
      changes.onTick(clock());
    }

    private void receive(Endpoint from, Message message) {
      run(
          () -> {
            replica.onMessage(from, message, clock());
            session.onMessage(from, message, clock());
            changes.onMessage(from, message, clock());
          });
    }

    private void run(Runnable action) {
      if (paused) {
        waiting.add(action);
      } else if (!down) {
        action.run();
      }
    }

    void stop() {
      down = true;
      run++;
    }

    void pause(long nanos) {
      paused = true;
      long ofRun = run;
      at(
          now + nanos,
          () -> {
            if (ofRun == run && paused) {
              paused = false;
              List<Runnable> actions = new ArrayList<>(waiting);
              waiting.clear();
              actions.forEach(Runnable::run);
            }
          });
    }

    void submit(String changeId, Command command, long timeoutNanos) {
      changes.submit(changeId, command, timeoutNanos, outcomes::add, clock());
    }
  }

  private static final class Event implements Comparable<Event> {
    private final long at;
    private final long order;
    private final Runnable action;

    private Event(long at, long order, Runnable action) {
      this.at = at;
      this.order = order;
      this.action = action;
    }

    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }
}
