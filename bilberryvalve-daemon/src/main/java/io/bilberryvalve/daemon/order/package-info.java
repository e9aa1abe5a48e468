/**
 * Orders to engines to load a model, sent by the daemon that holds the lease for the
 * model in the region.
 */
@NullMarked
package io.bilberryvalve.daemon.order;

import org.jspecify.annotations.NullMarked;
