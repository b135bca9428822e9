/**
 * Validation of a policy file before it is deployed.
 *
 * <p>Owns reading the file and printing its errors; the language itself is defined by the policy
 * module.
 */
package io.moorstage.lab.check;
