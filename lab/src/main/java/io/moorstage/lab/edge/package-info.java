/**
 * The external interface of the users' platform, as the lab's stand-ins implement it: packet
 * headers, the store's requests and responses, and readiness probes.
 *
 * <p>Owns the platform's names on this side of the wire; {@code build-tools/check-names} rejects
 * them in every other package of the lab. It is written from the platform's documentation and not
 * from the adapter, so that an error in the adapter is not repeated here, where it would go
 * undetected. Depends on the configuration's types only.
 */
package io.moorstage.lab.edge;
