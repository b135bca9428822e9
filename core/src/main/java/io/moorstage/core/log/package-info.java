/**
 * The decisions that balancers and agents log, with their names in log lines and metrics.
 *
 * <p>Holds no mutable state. Module forwarding implements {@link
 * io.moorstage.core.log.DecisionLog}.
 */
package io.moorstage.core.log;
