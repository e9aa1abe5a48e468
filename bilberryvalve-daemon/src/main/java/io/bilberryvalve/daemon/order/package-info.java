/**
 * Leases and orders to engines.
 */
@NullMarked
package io.bilberryvalve.daemon.order;

import org.jspecify.annotations.NullMarked;
