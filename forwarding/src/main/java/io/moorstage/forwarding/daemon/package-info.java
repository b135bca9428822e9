/**
 * The two programs, balancer and agent, which connect the decisions of module core to threads,
 * sockets and timers.
 *
 * <p>This package is responsible for start, ticks, reload and stop, and uses all other packages of
 * this module. {@link io.moorstage.forwarding.daemon.BalancerDaemon} and {@link
 * io.moorstage.forwarding.daemon.AgentDaemon} create the components and run the main loop. Each has
 * a component that handles the messages of other nodes (MessageHandler), one that executes
 * decisions (Output), and components that keep the state up to date (PeerCatchUp and
 * StateConfirmation in the balancer, AgentStateCopy in the agent). Both share DaemonEndpoints for
 * the HTTP servers and ClientSender for the segments to clients. BalancerReadiness decides when a
 * balancer is ready, and BalancerDrain when a stopping balancer ends. Daemons load no classes that
 * forwarding does not need, since startup time is part of the recovery time.
 */
package io.moorstage.forwarding.daemon;
