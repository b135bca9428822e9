/**
 * The daemons of transparent forwarding: threads, sockets and timers around the decisions of {@code
 * io.moorstage.core.transparent}. They follow a read-only {@link
 * io.moorstage.forwarding.StateSource} and each other, and load nothing that forwarding does not
 * need, since starting is part of recovering.
 */
package io.moorstage.forwarding;
