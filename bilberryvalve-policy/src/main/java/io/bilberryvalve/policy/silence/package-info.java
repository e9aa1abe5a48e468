/**
 * Detects runners that are suspected to be the cause when streams receive no more events.
 */
@NullMarked
package io.bilberryvalve.policy.silence;

import org.jspecify.annotations.NullMarked;
