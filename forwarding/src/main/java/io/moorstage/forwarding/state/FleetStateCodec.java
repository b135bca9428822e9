package io.moorstage.forwarding.state;

import io.moorstage.core.state.ColdStart;
import io.moorstage.core.state.Evacuations;
import io.moorstage.core.state.FleetState;
import io.moorstage.core.state.ForwardingConfiguration;
import io.moorstage.core.state.ForwardingRoute;
import io.moorstage.core.state.TargetPhase;
import io.moorstage.core.state.TargetRecord;
import io.moorstage.core.state.WeightedService;
import io.moorstage.core.state.ZoneEvacuation;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Encodes and decodes a {@link FleetState} for the transfer between nodes. */
public final class FleetStateCodec {
  /**
   * The first byte of a complete state. It changes with the format, so that nodes with different
   * formats reject each other's states instead of misreading them.
   */
  private static final int COMPLETE = 10;

  /** The first byte of changes since a revision; see {@link #COMPLETE}. */
  private static final int CHANGES = 11;

  /**
   * The maximum number of entries of one kind, as a protection against forged counts; the largest
   * fleet has 45,000 targets.
   */
  private static final int MAX_ENTRIES = 1_000_000;

  private FleetStateCodec() {}

  /**
   * A decoded response of a peer.
   *
   * @param state the complete state of the peer, or the changes of it
   * @param complete whether {@code state} is the complete state
   */
  public record PeerState(FleetState state, boolean complete) {}

  /** Encodes a complete state. */
  public static byte[] encode(FleetState state) {
    return encode(state, COMPLETE);
  }

  /** Encodes the changes that {@link FleetState#since} returns. */
  public static byte[] encodeChanges(FleetState changes) {
    return encode(changes, CHANGES);
  }

  private static byte[] encode(FleetState state, int format) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(format);
      out.writeLong(state.revision());
      writeConfiguration(state.configuration(), out);
      out.writeInt(state.targets().size());
      for (TargetRecord target : state.targets()) {
        writeTarget(target, out);
      }
      writeEvacuations(state.evacuations(), out);
    } catch (IOException e) {
      throw new IllegalStateException("state cannot be encoded", e);
    }
    return bytes.toByteArray();
  }

  private static void writeConfiguration(
      ForwardingConfiguration configuration, DataOutputStream out) throws IOException {
    out.writeLong(configuration.version());
    out.writeInt(configuration.idleTimeoutMs());
    out.writeInt(configuration.routes().size());
    for (ForwardingRoute route : configuration.routes()) {
      out.writeInt(route.address());
      out.writeInt(route.port());
      out.writeInt(route.timeoutMs());
      out.writeBoolean(route.repeatable());
      out.writeInt(route.objectiveMs());
      out.writeByte(route.priority());
      out.writeInt(route.services().size());
      for (WeightedService weighted : route.services()) {
        out.writeUTF(weighted.service());
        out.writeInt(weighted.weight());
      }
    }
    out.writeInt(configuration.coldStartsByService().size());
    for (Map.Entry<String, ColdStart> coldStart : configuration.coldStartsByService().entrySet()) {
      out.writeUTF(coldStart.getKey());
      out.writeInt(coldStart.getValue().durationMs());
      out.writeInt(coldStart.getValue().openingsPerS());
    }
    out.writeLong(configuration.servicesKnownSince());
  }

  private static void writeTarget(TargetRecord target, DataOutputStream out) throws IOException {
    out.writeUTF(target.id());
    out.writeLong(target.startedAtMs());
    out.writeUTF(target.service());
    out.writeInt(target.address());
    out.writeUTF(target.zone());
    out.writeInt(target.capacity());
    out.writeByte(target.phase().ordinal());
    out.writeBoolean(target.leaving());
    out.writeInt(target.slowStartMs());
    out.writeLong(target.createdRevision());
    out.writeBoolean(target.createdAtStart());
    out.writeLong(target.revision());
  }

  private static void writeEvacuations(Evacuations evacuations, DataOutputStream out)
      throws IOException {
    out.writeInt(evacuations.all().size());
    for (ZoneEvacuation evacuation : evacuations.all()) {
      out.writeUTF(evacuation.zone());
      out.writeBoolean(evacuation.inForce());
      out.writeLong(evacuation.revision());
    }
  }

  /**
   * Decodes a complete state, or the changes of one.
   *
   * @throws StateSourceException if the bytes are malformed or of another format
   */
  public static PeerState decode(byte[] bytes) throws StateSourceException {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      int format = in.readByte();
      if (format != COMPLETE && format != CHANGES) {
        throw new IOException("unknown format");
      }
      long revision = in.readLong();
      ForwardingConfiguration configuration = readConfiguration(in);
      int count = readCount(in);
      List<TargetRecord> targets = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        targets.add(readTarget(in));
      }
      FleetState state = FleetState.of(revision, configuration, targets, readEvacuations(in));
      return new PeerState(state, format == COMPLETE);
    } catch (IOException e) {
      throw new StateSourceException(StateSourceFailure.MALFORMED, "peer state is malformed", e);
    }
  }

  private static int readCount(DataInputStream in) throws IOException {
    int count = in.readInt();
    if (count < 0 || count > MAX_ENTRIES) {
      throw new IOException("count out of range");
    }
    return count;
  }

  private static ForwardingConfiguration readConfiguration(DataInputStream in) throws IOException {
    long version = in.readLong();
    int idleTimeoutMs = in.readInt();
    int count = readCount(in);
    List<ForwardingRoute> routes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int address = in.readInt();
      int port = in.readInt();
      int timeoutMs = in.readInt();
      boolean repeatable = in.readBoolean();
      int objectiveMs = in.readInt();
      int priority = in.readUnsignedByte();
      int serviceCount = readCount(in);
      List<WeightedService> services = new ArrayList<>(1);
      for (int j = 0; j < serviceCount; j++) {
        services.add(new WeightedService(in.readUTF(), in.readInt()));
      }
      routes.add(
          new ForwardingRoute(
              address, port, timeoutMs, repeatable, objectiveMs, priority, services));
    }
    return new ForwardingConfiguration(
        version, idleTimeoutMs, routes, readColdStarts(in), in.readLong());
  }

  private static Map<String, ColdStart> readColdStarts(DataInputStream in) throws IOException {
    int count = readCount(in);
    Map<String, ColdStart> coldStarts = new HashMap<>();
    for (int i = 0; i < count; i++) {
      coldStarts.put(in.readUTF(), new ColdStart(in.readInt(), in.readInt()));
    }
    return coldStarts;
  }

  private static Evacuations readEvacuations(DataInputStream in) throws IOException {
    int count = readCount(in);
    List<ZoneEvacuation> evacuations = new ArrayList<>(0);
    for (int i = 0; i < count; i++) {
      evacuations.add(new ZoneEvacuation(in.readUTF(), in.readBoolean(), in.readLong()));
    }
    return Evacuations.of(evacuations);
  }

  private static TargetRecord readTarget(DataInputStream in) throws IOException {
    String id = in.readUTF();
    long startedAtMs = in.readLong();
    String service = in.readUTF();
    int address = in.readInt();
    String zone = in.readUTF();
    int capacity = in.readInt();
    int phase = in.readByte();
    TargetPhase[] phases = TargetPhase.values();
    if (phase < 0 || phase >= phases.length) {
      throw new IOException("unknown phase");
    }
    boolean leaving = in.readBoolean();
    int slowStartMs = in.readInt();
    long createdRevision = in.readLong();
    boolean createdAtStart = in.readBoolean();
    long revision = in.readLong();
    return new TargetRecord(
        id,
        startedAtMs,
        service,
        address,
        zone,
        capacity,
        phases[phase],
        leaving,
        slowStartMs,
        createdRevision,
        createdAtStart,
        revision);
  }
}
