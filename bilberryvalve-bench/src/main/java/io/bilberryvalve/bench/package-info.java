/**
 * Load generation and measurements.
 */
@NullMarked
package io.bilberryvalve.bench;

import org.jspecify.annotations.NullMarked;
