/**
 * Decides which token event of a reply is delivered and who may report that a request was
 * not run.
 */
@NullMarked
package io.bilberryvalve.policy.outcome;

import org.jspecify.annotations.NullMarked;
