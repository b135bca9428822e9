package io.moorstage.lab.client;

import io.moorstage.lab.edge.Packets;

/**
 * Describes a flow to open.
 *
 * @param service destination address and port
 * @param requests how many requests the flow carries, one after the other
 */
public record FlowPlan(Packets.End service, int requests) {}
