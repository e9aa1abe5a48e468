/**
 * Leases and fencing numbers, which decide which daemon may send orders to an engine.
 */
@NullMarked
package io.bilberryvalve.policy.lease;

import org.jspecify.annotations.NullMarked;
