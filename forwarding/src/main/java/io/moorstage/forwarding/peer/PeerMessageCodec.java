package io.moorstage.forwarding.peer;

import io.moorstage.core.flow.FlowId;
import io.moorstage.core.message.CapacityReport;
import io.moorstage.core.message.FlowQueryResult;
import io.moorstage.core.message.ForwardTerms;
import io.moorstage.core.message.GiveBackReason;
import io.moorstage.core.message.SchedulingTerms;
import io.moorstage.core.message.TargetReport;
import io.moorstage.core.state.TargetPhase;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import javax.annotation.Nullable;

/**
 * Encodes and decodes {@link PeerMessage}s. A message is a type byte, followed by the fields in the
 * order of their declaration, big-endian. A string is preceded by a length byte, and a list by a
 * count byte.
 */
public final class PeerMessageCodec {
  /** The size of the largest message, in bytes: the largest segment and the fields before it. */
  public static final int MAX_BYTES = 2_048;

  /**
   * The largest number of flows in a query or a response. A datagram with that many is not
   * fragmented on its way.
   */
  public static final int MAX_FLOWS = 80;

  /** The largest size of a text, such as the name of a service or a zone, in bytes of UTF-8. */
  public static final int MAX_TEXT_BYTES = 255;

  /** The largest number of addresses in a beacon. */
  public static final int MAX_ADDRESSES = 64;

  private static final byte FORWARD = 1;
  private static final byte GIVE_BACK = 2;
  private static final byte FLOW_QUERY = 3;
  private static final byte FLOW_QUERY_RESPONSE = 4;
  private static final byte BALANCER_BEACON = 5;
  private static final byte AGENT_BEACON = 6;
  private static final int OVERRIDES_EJECTION = 1;
  private static final int HAS_SCHEDULING = 2;
  private static final int NO_PHASE = 0xFF;
  private static final int BYTE_MASK = 0xFF;
  private static final int SHORT_MASK = 0xFFFF;

  private PeerMessageCodec() {}

  /** Encodes a message at the buffer's position. */
  public static void encode(PeerMessage message, ByteBuffer out) {
    if (message instanceof PeerMessage.Forward forward) {
      encodeForward(forward, out);
    } else if (message instanceof PeerMessage.GiveBack giveBack) {
      out.put(GIVE_BACK).put((byte) giveBack.reason().ordinal());
      out.putLong(giveBack.configurationVersion()).put(giveBack.datagram().duplicate());
    } else if (message instanceof PeerMessage.FlowQuery query) {
      encodeFlowQuery(query, out);
    } else if (message instanceof PeerMessage.FlowQueryResponse response) {
      encodeFlowQueryResponse(response, out);
    } else if (message instanceof PeerMessage.BalancerBeacon beacon) {
      encodeBalancerBeacon(beacon, out);
    } else if (message instanceof PeerMessage.AgentBeacon beacon) {
      encodeAgentBeacon(beacon, out);
    }
  }

  private static void encodeForward(PeerMessage.Forward forward, ByteBuffer out) {
    ForwardTerms terms = forward.terms();
    out.put(FORWARD);
    putText(terms.service(), out);
    out.putLong(terms.configurationVersion()).putInt(terms.timeoutMs());
    out.putInt(terms.coldOpeningsPerS());
    putFlag(terms.repeatable(), out);
    int ejectionFlag = terms.overridesEjection() ? OVERRIDES_EJECTION : 0;
    SchedulingTerms scheduling = terms.scheduling();
    if (scheduling == null) {
      out.put((byte) ejectionFlag);
    } else {
      out.put((byte) (ejectionFlag | HAS_SCHEDULING));
      out.putShort((short) Math.min(scheduling.objectiveMs(), SHORT_MASK));
      out.put((byte) scheduling.priority()).put((byte) scheduling.clientOrder());
      out.putShort((short) scheduling.originZone());
    }
    out.put(forward.datagram().duplicate());
  }

  private static void encodeFlowQuery(PeerMessage.FlowQuery query, ByteBuffer out) {
    out.put(FLOW_QUERY).put((byte) query.flows().size());
    for (FlowId flow : query.flows()) {
      putFlow(flow, out);
    }
  }

  private static void encodeFlowQueryResponse(
      PeerMessage.FlowQueryResponse response, ByteBuffer out) {
    out.put(FLOW_QUERY_RESPONSE).put((byte) response.results().size());
    for (PeerMessage.FlowResult result : response.results()) {
      putFlow(result.flow(), out);
      out.put((byte) result.result().ordinal()).putInt(result.targetAddress());
    }
  }

  private static void encodeBalancerBeacon(PeerMessage.BalancerBeacon beacon, ByteBuffer out) {
    out.put(BALANCER_BEACON).putLong(beacon.revision());
    putText(beacon.zone(), out);
    putTarget(beacon.target(), out);
    putFlag(beacon.keepsCopy(), out);
    out.putInt(beacon.reportIntervalMs()).putInt(beacon.confirmationAgeMs());
    putAddresses(beacon.balancers(), out);
  }

  private static void encodeAgentBeacon(PeerMessage.AgentBeacon beacon, ByteBuffer out) {
    out.put(AGENT_BEACON);
    putText(beacon.service(), out);
    putText(beacon.zone(), out);
    out.putLong(beacon.revision()).putInt(beacon.busyFlows());
    putFlag(beacon.stopping(), out);
    putFlag(beacon.targetEjected(), out);
    putFlag(beacon.targetEnded(), out);
    CapacityReport capacity = beacon.capacityReport();
    out.putShort((short) capacity.serviceTimeTenthsMs()).putShort((short) capacity.heldFlows());
    out.putShort((short) capacity.admittedRank());
    putAddresses(beacon.balancers(), out);
  }

  private static void putTarget(@Nullable TargetReport target, ByteBuffer out) {
    out.put((byte) (target == null ? NO_PHASE : target.phase().ordinal()));
    if (target == null) {
      return;
    }
    out.putLong(target.revision());
    putFlag(target.evacuated(), out);
    out.putInt(target.capacity()).putLong(target.startNumber());
    putFlag(target.predecessorListedReady(), out);
    out.putInt(target.slowStartMs()).putInt(target.coldStartMs());
  }

  private static void putFlag(boolean flag, ByteBuffer out) {
    out.put((byte) (flag ? 1 : 0));
  }

  private static void putText(String text, ByteBuffer out) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    int length = Math.min(bytes.length, MAX_TEXT_BYTES);
    out.put((byte) length).put(bytes, 0, length);
  }

  private static void putFlow(FlowId flow, ByteBuffer out) {
    out.putInt(flow.clientAddress()).putShort((short) flow.clientPort());
    out.putInt(flow.serviceAddress()).putShort((short) flow.servicePort());
  }

  private static void putAddresses(int[] addresses, ByteBuffer out) {
    int count = Math.min(addresses.length, MAX_ADDRESSES);
    out.put((byte) count);
    for (int i = 0; i < count; i++) {
      out.putInt(addresses[i]);
    }
  }

  /**
   * Decodes a message.
   *
   * @param in the datagram; a segment in the message shares its memory
   * @return the message, or null if the datagram is truncated, of an unknown type, or holds a value
   *     out of range. The caller counts such a datagram and logs its sender
   */
  @Nullable
  public static PeerMessage decode(ByteBuffer in) {
    try {
      return decodeFields(in);
    } catch (BufferUnderflowException e) {
      return null;
    }
  }

  @Nullable
  private static PeerMessage decodeFields(ByteBuffer in) {
    switch (in.get()) {
      case FORWARD:
        ForwardTerms terms = getForwardTerms(in);
        return new PeerMessage.Forward(terms, in.slice());
      case GIVE_BACK:
        GiveBackReason reason = GiveBackReason.ofNumber(in.get());
        long version = in.getLong();
        return reason == null ? null : new PeerMessage.GiveBack(reason, version, in.slice());
      case FLOW_QUERY:
        return decodeFlowQuery(in);
      case FLOW_QUERY_RESPONSE:
        return decodeFlowQueryResponse(in);
      case BALANCER_BEACON:
        return decodeBalancerBeacon(in);
      case AGENT_BEACON:
        return decodeAgentBeacon(in);
      default:
        return null;
    }
  }

  private static ForwardTerms getForwardTerms(ByteBuffer in) {
    String service = getText(in);
    long version = in.getLong();
    int timeoutMs = in.getInt();
    int coldOpeningsPerS = in.getInt();
    boolean repeatable = in.get() != 0;
    int flags = in.get();
    SchedulingTerms scheduling = (flags & HAS_SCHEDULING) == 0 ? null : getSchedulingTerms(in);
    return new ForwardTerms(
        service,
        version,
        timeoutMs,
        coldOpeningsPerS,
        repeatable,
        (flags & OVERRIDES_EJECTION) != 0,
        scheduling);
  }

  private static SchedulingTerms getSchedulingTerms(ByteBuffer in) {
    return new SchedulingTerms(
        in.getShort() & SHORT_MASK,
        in.get() & BYTE_MASK,
        in.get() & BYTE_MASK,
        in.getShort() & SHORT_MASK);
  }

  @Nullable
  private static PeerMessage decodeFlowQuery(ByteBuffer in) {
    int count = in.get() & BYTE_MASK;
    if (count > MAX_FLOWS) {
      return null;
    }
    List<FlowId> flows = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      flows.add(getFlow(in));
    }
    return new PeerMessage.FlowQuery(flows);
  }

  @Nullable
  private static PeerMessage decodeFlowQueryResponse(ByteBuffer in) {
    int count = in.get() & BYTE_MASK;
    List<PeerMessage.FlowResult> results = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      FlowId flow = getFlow(in);
      FlowQueryResult result = FlowQueryResult.ofNumber(in.get());
      int targetAddress = in.getInt();
      if (result == null) {
        return null;
      }
      results.add(new PeerMessage.FlowResult(flow, result, targetAddress));
    }
    return new PeerMessage.FlowQueryResponse(results);
  }

  @Nullable
  private static PeerMessage decodeBalancerBeacon(ByteBuffer in) {
    long revision = in.getLong();
    String zone = getText(in);
    int phaseNumber = in.get() & BYTE_MASK;
    TargetPhase[] phases = TargetPhase.values();
    if (phaseNumber != NO_PHASE && phaseNumber >= phases.length) {
      return null;
    }
    TargetReport target = phaseNumber == NO_PHASE ? null : getTarget(phases[phaseNumber], in);
    return new PeerMessage.BalancerBeacon(
        revision, zone, target, in.get() != 0, in.getInt(), in.getInt(), getAddresses(in));
  }

  private static PeerMessage decodeAgentBeacon(ByteBuffer in) {
    return new PeerMessage.AgentBeacon(
        getText(in),
        getText(in),
        in.getLong(),
        in.getInt(),
        in.get() != 0,
        in.get() != 0,
        in.get() != 0,
        getCapacityReport(in),
        getAddresses(in));
  }

  private static CapacityReport getCapacityReport(ByteBuffer in) {
    return new CapacityReport(
        in.getShort() & SHORT_MASK, in.getShort() & SHORT_MASK, in.getShort() & SHORT_MASK);
  }

  private static TargetReport getTarget(TargetPhase phase, ByteBuffer in) {
    return new TargetReport(
        in.getLong(),
        phase,
        in.get() != 0,
        in.getInt(),
        in.getLong(),
        in.get() != 0,
        in.getInt(),
        in.getInt());
  }

  private static String getText(ByteBuffer in) {
    byte[] bytes = new byte[in.get() & BYTE_MASK];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private static FlowId getFlow(ByteBuffer in) {
    return new FlowId(
        in.getInt(), in.getShort() & SHORT_MASK, in.getInt(), in.getShort() & SHORT_MASK);
  }

  private static int[] getAddresses(ByteBuffer in) {
    int[] addresses = new int[in.get() & BYTE_MASK];
    for (int i = 0; i < addresses.length; i++) {
      addresses[i] = in.getInt();
    }
    return addresses;
  }
}
