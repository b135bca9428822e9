/** Benchmarks of the forwarding path: time per decision, and memory per held flow. */
package io.moorstage.lab.bench;
