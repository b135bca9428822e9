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

/** The form in which nodes hand each other a {@link FleetState}. */
public final class FleetStateCodec {
  /**
   * The first byte of a complete state. It changes with the form, so that nodes of two versions
   * take nothing from each other instead of something wrong.
   */
  private static final int COMPLETE = 6;

  /** The first byte of changes since a revision; see {@link #COMPLETE}. */
  private static final int CHANGES = 7;

  /** The most entries of one kind, against forged counts; the largest fleet has 45,000 targets. */
  private static final int MAX_ENTRIES = 1_000_000;

  private FleetStateCodec() {}

  /**
   * What a peer has answered.
   *
   * @param state the state, or what has changed in it
   * @param complete whether nothing that the peer knows is left out
   */
  public record PeerState(FleetState state, boolean complete) {}

  /** Returns the encoded state. */
  public static byte[] encode(FleetState state) {
    return encode(state, COMPLETE);
  }

  /** Returns encoded changes, as {@link FleetState#since} gives them. */
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
      throw new IllegalStateException("memory can be written to", e);
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
      out.writeInt(route.services().size());
      for (WeightedService part : route.services()) {
        out.writeUTF(part.service());
        out.writeInt(part.weight());
      }
    }
    out.writeInt(configuration.coldStartsByService().size());
    for (Map.Entry<String, ColdStart> limited : configuration.coldStartsByService().entrySet()) {
      out.writeUTF(limited.getKey());
      out.writeInt(limited.getValue().durationMs());
      out.writeInt(limited.getValue().openingsPerS());
    }
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
   * Reads a state or changes of one.
   *
   * @throws StateSourceException if the bytes are neither
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
      throw new StateSourceException(
          StateSourceFailure.MALFORMED, "a peer's state is malformed", e);
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
      int parts = readCount(in);
      List<WeightedService> services = new ArrayList<>(1);
      for (int j = 0; j < parts; j++) {
        services.add(new WeightedService(in.readUTF(), in.readInt()));
      }
      routes.add(new ForwardingRoute(address, port, timeoutMs, repeatable, services));
    }
    return new ForwardingConfiguration(version, idleTimeoutMs, routes, readColdStarts(in));
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
        revision);
  }
}
