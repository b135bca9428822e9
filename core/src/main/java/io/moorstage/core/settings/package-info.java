/**
 * The times and limits that forwarding decisions depend on, and the switches of mechanisms that an
 * experiment can switch off.
 *
 * <p>Holds no mutable state: values are immutable and are passed to their users on construction.
 */
package io.moorstage.core.settings;
