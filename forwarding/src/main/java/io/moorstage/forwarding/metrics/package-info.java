/**
 * The counters and gauges of a daemon, and the HTTP endpoint that serves them.
 *
 * <p>Owns the counters. The names of metrics do not change, since dashboards refer to them.
 */
package io.moorstage.forwarding.metrics;
