/**
 * A stand-in for the platform's store on loopback that simulates the faults of a store.
 *
 * <p>Owns the items, their revisions and the history. Package {@code edge} owns their encoding.
 */
package io.moorstage.lab.store;
