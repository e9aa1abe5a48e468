/**
 * Decides who may send orders to an engine.
 */
@NullMarked
package io.bilberryvalve.policy.lease;

import org.jspecify.annotations.NullMarked;
