/**
 * Flows and segments: the identity of a flow, the fields of a segment that forwarding decisions
 * need, and the interface of the codec that reads them.
 *
 * <p>Holds no mutable state. Of the other packages of moorstage it depends on {@code model} alone;
 * module platform implements {@link io.moorstage.core.flow.SegmentCodec}.
 */
package io.moorstage.core.flow;
