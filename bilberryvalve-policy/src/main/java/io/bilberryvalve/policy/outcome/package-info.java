/**
 * Decides which token events of a reply are delivered, and when a request may be reported
 * as not run.
 */
@NullMarked
package io.bilberryvalve.policy.outcome;

import org.jspecify.annotations.NullMarked;
