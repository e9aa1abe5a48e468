/**
 * Orders that place model layers on runners.
 */
@NullMarked
package io.bilberryvalve.gateway.layers;

import org.jspecify.annotations.NullMarked;
