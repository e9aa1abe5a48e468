/**
 * Decides which runners form a chain and how a chain is repaired.
 */
@NullMarked
package io.bilberryvalve.policy.chain;

import org.jspecify.annotations.NullMarked;
