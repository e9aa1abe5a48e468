/**
 * Decides which configuration is in force.
 */
@NullMarked
package io.bilberryvalve.policy.rollout;

import org.jspecify.annotations.NullMarked;
