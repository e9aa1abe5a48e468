/**
 * Decides whether a non-idempotent call may be dispatched, so that it runs at most once.
 */
@NullMarked
package io.bilberryvalve.policy.once;

import org.jspecify.annotations.NullMarked;
