/**
 * The policy language: its compiler, which produces the forwarding configuration, and its
 * formatter.
 */
package io.moorstage.policy;
