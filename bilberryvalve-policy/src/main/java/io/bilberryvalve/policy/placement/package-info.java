/**
 * Decides which runner holds which layers of a model.
 */
@NullMarked
package io.bilberryvalve.policy.placement;

import org.jspecify.annotations.NullMarked;
