package io.moorstage.lab.process;

/**
 * Ports on each loopback address, below the range of the system's ephemeral ports. All addresses
 * use the same ports, as the platform's machines do.
 */
public final class Ports {
  /** UDP: balancers receive clients' packets here, and clients receive responses. */
  public static final int CLIENT = 28_172;

  /** TCP: readiness probes. */
  public static final int READY = 28_167;

  /** UDP and TCP: a target receives packets and health checks here. */
  public static final int APP = 28_165;

  /** UDP: an agent receives the packets of its target here. */
  public static final int EGRESS = 28_162;

  /** UDP: messages between nodes. */
  public static final int PEER = 27_720;

  /** TCP: nodes serve their state to peers here. */
  public static final int STATE = 27_735;

  /** TCP: metrics. */
  public static final int METRICS = 28_164;

  /** TCP: the store. */
  public static final int STORE = 28_169;

  private Ports() {}
}
