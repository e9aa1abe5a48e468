/**
 * Submission of configurations, and the decision which one is in force.
 */
@NullMarked
package io.bilberryvalve.policy.rollout;

import org.jspecify.annotations.NullMarked;
