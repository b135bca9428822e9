/**
 * A stand-in for a target on loopback.
 *
 * <p>Owns the flows that a target holds and its responses. The listener runs the requests. Package
 * {@code edge} encodes and decodes the packets.
 */
package io.moorstage.lab.targets;
