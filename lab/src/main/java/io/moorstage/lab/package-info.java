/**
 * The lab's command line. The lab runs the real programs on loopback, with stand-ins for all
 * systems that they communicate with: for a demonstration, for the fault soak and for tests.
 *
 * <p>Owns the commands and their exit codes. Each stand-in (store, targets, clients, router) and
 * the handling of processes has its own package.
 */
package io.moorstage.lab;
