/**
 * Clocks for production and for tests.
 */
@NullMarked
package io.bilberryvalve.model.clock;

import org.jspecify.annotations.NullMarked;
