/**
 * Stand-in for a model engine that holds a range of layers.
 */
@NullMarked
package io.bilberryvalve.standins.engine;

import org.jspecify.annotations.NullMarked;
