/**
 * Decides which runners hold which layers of a model, and sends them the orders to load
 * these layers.
 */
@NullMarked
package io.bilberryvalve.gateway.layers;

import org.jspecify.annotations.NullMarked;
