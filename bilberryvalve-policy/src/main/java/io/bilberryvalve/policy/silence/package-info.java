/**
 * Decides which runners are suspected when streams fall silent.
 */
@NullMarked
package io.bilberryvalve.policy.silence;

import org.jspecify.annotations.NullMarked;
