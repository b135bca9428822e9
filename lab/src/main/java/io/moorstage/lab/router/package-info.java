/**
 * A stand-in for the platform's routers, which select the balancer that gets the packets of a flow.
 *
 * <p>Owns the readiness probes and the set of ready balancers. Package {@code edge} implements the
 * probe itself.
 */
package io.moorstage.lab.router;
