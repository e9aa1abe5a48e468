/**
 * Runs each non-idempotent call at most once, by means of idempotency keys.
 */
@NullMarked
package io.bilberryvalve.policy.once;

import org.jspecify.annotations.NullMarked;
