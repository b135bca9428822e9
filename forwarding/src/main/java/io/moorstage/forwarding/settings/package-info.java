/**
 * The settings of a daemon: parsed from text, validated, and immutable.
 *
 * <p>Owns no state. All problems of a settings file are reported at once, with their kinds.
 */
package io.moorstage.forwarding.settings;
