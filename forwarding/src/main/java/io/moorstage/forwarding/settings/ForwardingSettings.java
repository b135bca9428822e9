package io.moorstage.forwarding.settings;

import io.moorstage.core.model.Endpoint;
import io.moorstage.core.settings.ForwardingPolicy;
import io.moorstage.core.settings.Mechanism;
import io.moorstage.core.settings.OverloadSettings;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;
import javax.annotation.Nullable;

/**
 * The validated settings of a forwarding daemon.
 *
 * @param nodeId name of the process
 * @param zone zone in which the process runs
 * @param address IPv4 address of the machine
 * @param peerPort UDP port for messages between nodes, the same on all machines
 * @param statePort TCP port at which nodes serve their state to each other, the same on all
 *     machines
 * @param metricsPort TCP port at which the metrics are served
 * @param readiness address and port at which readiness is served
 * @param seeds nodes to contact first in order to discover the fleet; their ports are ignored
 * @param source address and port of the configuration source
 * @param clientEndpoint balancer: where it receives the segments of clients; agent: only the port
 *     is used, which is that of the clients
 * @param target agent only: where the target receives segments
 * @param egress agent only: where the target sends its segments
 * @param service agent only: name of the target's service
 * @param overloadControl whether requests are scheduled, and openings rejected, under overload
 * @param switchedOff mechanisms that are switched off for an experiment; empty in operation
 */
public record ForwardingSettings(
    String nodeId,
    String zone,
    int address,
    int peerPort,
    int statePort,
    int metricsPort,
    Endpoint readiness,
    List<Endpoint> seeds,
    Endpoint source,
    Endpoint clientEndpoint,
    @Nullable Endpoint target,
    @Nullable Endpoint egress,
    @Nullable String service,
    boolean overloadControl,
    Set<Mechanism> switchedOff) {

  /** Returns the standard policy, with overload control as set. */
  public ForwardingPolicy policy() {
    OverloadSettings overload = overloadControl ? OverloadSettings.STANDARD : OverloadSettings.OFF;
    return ForwardingPolicy.STANDARD.with(overload).without(switchedOff);
  }

  /** Maximum size of a settings file, in bytes. */
  public static final int MAX_FILE_BYTES = 1 << 16;

  /** The two programs that have settings. */
  public enum Program {
    /** Forwards the segments of clients to targets. */
    BALANCER,
    /** Runs on the machine of a target. */
    AGENT
  }

  /**
   * Reads a settings file.
   *
   * @param translator replaces settings that a platform names in its own words
   * @throws ForwardingSettingsException if the file can't be read, is too large or has invalid
   *     settings; contains all problems found
   */
  public static ForwardingSettings load(
      Program program, Path file, UnaryOperator<String> translator)
      throws ForwardingSettingsException {
    try (InputStream input = Files.newInputStream(file)) {
      byte[] content = input.readNBytes(MAX_FILE_BYTES + 1);
      if (content.length > MAX_FILE_BYTES) {
        throw unreadable("file is larger than " + MAX_FILE_BYTES + " bytes");
      }
      String text = new String(content, StandardCharsets.UTF_8);
      return parse(program, translator.apply(text));
    } catch (IOException e) {
      throw unreadable("file can't be read");
    }
  }

  private static ForwardingSettingsException unreadable(String detail) {
    SettingsProblem problem = new SettingsProblem(SettingsProblem.Kind.UNREADABLE, "", detail);
    return new ForwardingSettingsException(List.of(problem));
  }

  /**
   * Reads settings from text.
   *
   * @throws ForwardingSettingsException if the text has invalid settings; contains all problems
   */
  public static ForwardingSettings parse(Program program, String text)
      throws ForwardingSettingsException {
    SettingsText values = new SettingsText(text);
    boolean agent = program == Program.AGENT;
    ForwardingSettings settings =
        new ForwardingSettings(
            values.text("node.id"),
            values.text("node.zone"),
            values.address("node.address"),
            values.port("node.peer-port"),
            values.port("node.state-port"),
            values.port("node.metrics-port"),
            values.endpoint("node.readiness-address"),
            values.endpoints("node.seeds"),
            values.endpoint("source.address"),
            values.endpoint("client.address"),
            agent ? values.endpoint("agent.target-address") : null,
            agent ? values.endpoint("agent.egress-address") : null,
            agent ? values.text("agent.service") : null,
            values.flag("overload.control"),
            values.mechanisms("experiment.without"));
    if (!values.problems().isEmpty()) {
      throw new ForwardingSettingsException(values.problems());
    }
    return settings;
  }
}
