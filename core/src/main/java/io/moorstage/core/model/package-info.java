/** Immutable value types that all modules share: endpoints of sockets and services. */
package io.moorstage.core.model;
