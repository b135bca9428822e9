/**
 * Runs balancers and agents as separate processes on loopback addresses.
 *
 * <p>Owns the processes, their settings files and logs, and the port numbers that all stand-ins
 * use. Terminates only processes that it has started, each by its process id.
 */
package io.moorstage.lab.process;
