/**
 * Plans chains of runners that together cover the layers of a model, and repairs a chain
 * after a failure.
 */
@NullMarked
package io.bilberryvalve.policy.chain;

import org.jspecify.annotations.NullMarked;
