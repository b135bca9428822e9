package io.moorstage.forwarding.peer;

import io.moorstage.core.model.Endpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import javax.annotation.Nullable;

/**
 * The directory of the balancers that a node knows, from its settings, from the beacons of other
 * nodes, or from their own beacons and forwarded segments. Evicts balancers that send no beacons.
 * Thread-safe.
 *
 * <p>In a small fleet, all balancers are close. In a larger one, the close balancers are those of
 * the own zone and those that forward segments to this node. A node sends its regular beacons to
 * its close balancers and to a few random others, so that the number of messages that it sends and
 * receives does not grow with the fleet.
 */
public final class PeerDirectory {
  /**
   * The largest number of known balancers that are all close. A full mesh of eight balancers costs
   * 112 datagrams a second.
   */
  static final int FULL_MESH_MAX_BALANCERS = 8;

  /**
   * The largest number of close balancers of the own zone, and of those that forward segments to
   * this node. At the target size, a zone has six balancers.
   */
  static final int MAX_CLOSE_PER_GROUP = 16;

  /**
   * How long a balancer is kept after its last beacon, in milliseconds, so that a zone that loses
   * its network for a minute does not lose its entries.
   */
  static final long SEEN_TTL_MS = 90_000;

  /**
   * How long a balancer that has never sent a beacon is kept, in milliseconds. The entry of a
   * machine that is gone has to expire even if nodes still advertise it to each other.
   */
  private static final long UNSEEN_TTL_MS = 20_000;

  /**
   * How long a balancer counts as live after a beacon, in milliseconds. It is six periods, since
   * balancers send only some of their beacons to each balancer of another zone.
   */
  private static final long LIVE_WINDOW_MS = 6L * BalancerBeacons.PERIOD_MS;

  /**
   * How long a balancer counts as one that forwards segments to this node, in milliseconds after
   * the last one. A client retransmits a lost segment within 1.6 s, and segments of an active flow
   * follow each other sooner.
   */
  private static final long SENDER_WINDOW_MS = 2_000;

  /** The largest number of random balancers of other zones that are notified of a newer state. */
  private static final int MAX_OTHERS_NOTIFIED = 2;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final int ownAddress;
  private final String ownZone;
  private final Map<Integer, Peer> peers = new HashMap<>();

  /** A balancer that this node knows. */
  private static final class Peer {
    private final int address;

    /** The zone, or null before the first beacon. */
    @Nullable private String zone;

    private long revision;
    private long lastBeaconMs = NEVER;
    private long lastForwardMs = NEVER;
    private long expiresAtMs;

    private Peer(int address, long expiresAtMs) {
      this.address = address;
      this.expiresAtMs = expiresAtMs;
    }

    private boolean isLive(long nowMs) {
      return nowMs - lastBeaconMs <= LIVE_WINDOW_MS;
    }
  }

  public PeerDirectory(int ownAddress, String ownZone) {
    this.ownAddress = ownAddress;
    this.ownZone = ownZone;
  }

  /** Adds a balancer unless it is known or this node itself. */
  public synchronized void add(int address, long nowMs) {
    if (address != ownAddress && !peers.containsKey(address)) {
      peers.put(address, new Peer(address, nowMs + UNSEEN_TTL_MS));
    }
  }

  /** Adds the balancers that the settings name as seeds; their ports are ignored. */
  public void addSeeds(List<Endpoint> seeds, long nowMs) {
    for (Endpoint seed : seeds) {
      add(seed.ipv4(), nowMs);
    }
  }

  /** Adds the balancers that another node has listed in a beacon. */
  public void addAdvertised(int[] addresses, long nowMs) {
    for (int address : addresses) {
      add(address, nowMs);
    }
  }

  /**
   * Records a beacon of a balancer.
   *
   * @param zone the balancer's zone
   * @param revision the revision of the balancer's state
   * @return whether the balancer was unknown or not live before
   */
  public synchronized boolean recordBeacon(int address, String zone, long revision, long nowMs) {
    if (address == ownAddress) {
      return false;
    }
    add(address, nowMs);
    Peer peer = peers.get(address);
    boolean appeared = !peer.isLive(nowMs);
    peer.zone = zone;
    peer.revision = revision;
    peer.lastBeaconMs = nowMs;
    peer.expiresAtMs = nowMs + SEEN_TTL_MS;
    return appeared;
  }

  /** Records that a balancer has forwarded a segment to this node. */
  public synchronized void recordForward(int address, long nowMs) {
    add(address, nowMs);
    Peer peer = peers.get(address);
    if (peer != null) {
      peer.lastForwardMs = nowMs;
    }
  }

  /** Returns the addresses of the close balancers. */
  public synchronized int[] closePeers(long nowMs) {
    evictExpired(nowMs);
    List<Peer> nearby = new ArrayList<>();
    List<Peer> senders = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (isInOwnZone(peer) || peers.size() <= FULL_MESH_MAX_BALANCERS) {
        nearby.add(peer);
      } else if (nowMs - peer.lastForwardMs <= SENDER_WINDOW_MS) {
        senders.add(peer);
      }
    }
    List<Peer> close = randomSample(nearby, MAX_CLOSE_PER_GROUP);
    close.addAll(randomSample(senders, MAX_CLOSE_PER_GROUP));
    return addressesOf(close);
  }

  /**
   * Returns the addresses of random balancers that are not close, up to half of them balancers that
   * have not sent a beacon yet.
   */
  public synchronized int[] otherPeers(int count, long nowMs) {
    List<Peer> unseen = new ArrayList<>();
    List<Peer> seen = new ArrayList<>();
    for (Peer peer : peers.values()) {
      boolean isClose =
          isInOwnZone(peer)
              || peers.size() <= FULL_MESH_MAX_BALANCERS
              || nowMs - peer.lastForwardMs <= SENDER_WINDOW_MS;
      if (!isClose) {
        (peer.zone == null ? unseen : seen).add(peer);
      }
    }
    List<Peer> chosen = randomSample(unseen, (count + 1) / 2);
    chosen.addAll(randomSample(seen, count - chosen.size()));
    return addressesOf(chosen);
  }

  /** Returns the addresses of random live balancers, those of a zone first. */
  public synchronized int[] livePeers(String zone, int count, long nowMs) {
    List<Peer> sameZone = new ArrayList<>();
    List<Peer> elsewhere = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.isLive(nowMs)) {
        (zone.equals(peer.zone) ? sameZone : elsewhere).add(peer);
      }
    }
    List<Peer> chosen = randomSample(sameZone, count);
    chosen.addAll(randomSample(elsewhere, count - chosen.size()));
    return addressesOf(chosen);
  }

  /** Returns the number of live balancers. */
  public synchronized int liveCount(long nowMs) {
    int count = 0;
    for (Peer peer : peers.values()) {
      if (peer.isLive(nowMs)) {
        count++;
      }
    }
    return count;
  }

  /**
   * Returns the addresses of live balancers whose last beacon had a lower revision: close ones, and
   * a few random others.
   */
  synchronized int[] peersBehind(long revision, long nowMs) {
    List<Peer> close = new ArrayList<>();
    List<Peer> elsewhere = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.isLive(nowMs) && peer.revision < revision) {
        (isInOwnZone(peer) || peers.size() <= FULL_MESH_MAX_BALANCERS ? close : elsewhere)
            .add(peer);
      }
    }
    List<Peer> chosen = randomSample(close, MAX_CLOSE_PER_GROUP);
    chosen.addAll(randomSample(elsewhere, MAX_OTHERS_NOTIFIED));
    return addressesOf(chosen);
  }

  /**
   * Returns the address of the live balancer with the highest revision above a given one, or 0 if
   * there is none. A balancer of the own zone takes precedence over any other.
   */
  public synchronized int mostAdvanced(long aboveRevision, long nowMs) {
    Peer best = null;
    for (Peer peer : peers.values()) {
      if (!peer.isLive(nowMs) || peer.revision <= aboveRevision) {
        continue;
      }
      boolean isNearer = best != null && isInOwnZone(peer) && !isInOwnZone(best);
      boolean isFarther = best != null && !isInOwnZone(peer) && isInOwnZone(best);
      if (best == null || isNearer || !isFarther && peer.revision > best.revision) {
        best = peer;
      }
    }
    return best == null ? 0 : best.address;
  }

  /**
   * Returns whether this node no longer receives beacons from most balancers of its zone or, if it
   * knows none there, from any balancer. In a small fleet, all balancers count as of its zone.
   *
   * @param timeoutMs the time without a beacon after which a balancer counts as lost, in
   *     milliseconds
   * @param membershipMs the time without a beacon after which a balancer is no longer counted at
   *     all, in milliseconds
   */
  public synchronized boolean hasLostMost(long timeoutMs, long membershipMs, long nowMs) {
    int closeKnown = 0;
    int closeLive = 0;
    int otherKnown = 0;
    int otherLive = 0;
    for (Peer peer : peers.values()) {
      long ageMs = nowMs - peer.lastBeaconMs;
      if (ageMs > membershipMs) {
        continue;
      }
      boolean isClose = isInOwnZone(peer) || peers.size() <= FULL_MESH_MAX_BALANCERS;
      int live = ageMs <= timeoutMs ? 1 : 0;
      closeKnown += isClose ? 1 : 0;
      closeLive += isClose ? live : 0;
      otherKnown += isClose ? 0 : 1;
      otherLive += isClose ? 0 : live;
    }
    // A balancer of another zone sends beacons to this node only now and then, so the lack of a
    // recent one is a sign of a failure only if it concerns all of them.
    return closeKnown > 0 ? closeLive * 2 < closeKnown : otherKnown > 0 && otherLive == 0;
  }

  private boolean isInOwnZone(Peer peer) {
    return ownZone.equals(peer.zone);
  }

  private void evictExpired(long nowMs) {
    peers.values().removeIf(peer -> peer.expiresAtMs < nowMs);
  }

  /**
   * Returns a random sample of a list, or the whole list if it has at most as many elements. May
   * reorder the list.
   */
  private static List<Peer> randomSample(List<Peer> from, int count) {
    if (from.size() <= count) {
      return from;
    }
    List<Peer> chosen = new ArrayList<>(Math.max(count, 0));
    for (int i = 0; i < count; i++) {
      int index = i + ThreadLocalRandom.current().nextInt(from.size() - i);
      Peer picked = from.get(index);
      from.set(index, from.get(i));
      from.set(i, picked);
      chosen.add(picked);
    }
    return chosen;
  }

  private static int[] addressesOf(List<Peer> peers) {
    int[] addresses = new int[peers.size()];
    for (int i = 0; i < addresses.length; i++) {
      addresses[i] = peers.get(i).address;
    }
    return addresses;
  }
}
