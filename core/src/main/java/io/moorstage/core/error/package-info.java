/** The base types of failures and of checked exceptions. */
package io.moorstage.core.error;
