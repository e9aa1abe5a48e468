/**
 * Decides which requests wait for a place, in which order, and which are rejected.
 */
@NullMarked
package io.bilberryvalve.policy.queue;

import org.jspecify.annotations.NullMarked;
